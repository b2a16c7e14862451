//! Disconnects of clients that arrive while a router is busy.

use std::io::Write;
use std::net::TcpStream as Client;
use std::time::Duration;

use sapphirespur_node::edge::client_stream::ClientStream;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

// GONE: a router that is late gets to a request after its client has left, and sends it on: it learns of the
// disconnect with the next events only.
#[test]
fn disconnect_after_the_events_were_read_is_noticed_with_the_request() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut client = Client::connect(listener.local_addr().expect("bound")).expect("connected");
        let (stream, _) = listener.accept().await.expect("accepted");
        client.write_all(REQUEST).expect("sent");
        stream.readable().await.expect("the event of the request");
        drop(client);
        // The task is busy, so that the runtime reads no further events.
        std::thread::sleep(Duration::from_millis(50));

        let mut stream = ClientStream::new(stream);
        let mut buf = [0; 1_024];
        let len = stream.read(&mut buf).await.expect("read");
        assert_eq!(&buf[..len], REQUEST);
        let disconnect = futures::FutureExt::now_or_never(stream.read(&mut buf));
        assert!(matches!(disconnect, Some(Ok(0))), "{disconnect:?}");
    });
}
