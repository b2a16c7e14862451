@0xd8a3f05b7c1e4692;

# Frame of an answer between a sidecar and a router.

struct Frame {
  incarnation @0 :UInt64;
  counter @1 :UInt64;
  number @2 :UInt64;
  union {
    head :group {
      status @3 :UInt16;
      contentType @4 :Text;
    }
    data @5 :Data;
    keepAlive @6 :Void;
    end @7 :Void;
    refused :group {
      code @8 :Text;
      ran @9 :Bool;
      retryAfterMillis @10 :UInt64;
    }
  }
}
