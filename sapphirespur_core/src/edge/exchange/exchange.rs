//! State of one router in the exchange of reports.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::exchange::{
    Bootstrap, BootstrapEntry, BootstrapWrite, Contact, ExchangeRole, News, OutgoingMessage,
    PeerMessage, Reach, ReportScope, Seeds,
};
use crate::edge::report_store::ReportSource;
use crate::edge::{FleetNews, PeerReport, Peers, RelayView};
use crate::time::Time;

/// Decides to whom a router sends its report, and which reports it adds up.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    peers: Peers,
    /// This router; none before it is set, as long as reports are exchanged without messages.
    own: Option<Contact>,
    seeds: Seeds,
    bootstrap: Bootstrap,
    role: Option<ExchangeRole>,
    own_report: PeerReport,
    /// News for the next messages.
    news: FleetNews,
    /// When these news were current.
    news_at: Time,
    /// Relay whose sums are in use, and when they arrived.
    sums_from: Option<(u64, Time)>,
    /// Number of routers that these sums cover.
    sums_cover: u32,
    /// Relay that is asked, and since when it has not answered with sums.
    unanswered: Option<(u64, Time)>,
    /// When a router last asked this one for sums.
    asked_at: Option<Time>,
    /// Prefilled tokens from this data centre, for the others: of this interval and the last one.
    own_news: [News; 2],
    /// Prefilled tokens from everywhere, for the routers of this data centre: of this interval first,
    /// and of the ones before with the sequence numbers of the reports that began them.
    all_news: VecDeque<(u64, News)>,
    /// Sequence number of the last sums that this router used.
    seen: u64,
    ticks: u32,
}

impl Exchange {
    /// Interval between reports in a small fleet.
    pub const MESH_INTERVAL: Duration = Duration::from_millis(150);

    /// Interval between reports in a fleet with relays.
    pub const RELAY_INTERVAL: Duration = Duration::from_millis(250);

    /// Time without an answer after which a relay counts as silent; several answers must have been
    /// lost by then.
    const RELAY_TIMEOUT: Duration = Duration::from_millis(600);

    /// Time without sums after which a relay is passed over although it is heard: it does not know
    /// that it is one.
    const REFUSAL_TIMEOUT: Duration = Duration::from_millis(2_500);

    /// Intervals of which news are kept for routers that missed some.
    const NEWS_INTERVALS: usize = 6;

    /// Routers that have fallen silent to which a relay sends its report in one interval.
    const PROBES: usize = 2;

    /// Ticks between messages to a seed that gets no reports, so that parts of the fleet that lost
    /// each other meet again.
    const TICKS_PER_SEED: u32 = 16;

    /// Sets the address and data centre of this router, and the first routers to contact.
    pub fn start(&mut self, own: Contact, seeds: &[SocketAddr]) {
        self.own = Some(own);
        self.set_seeds(seeds);
    }

    /// Replaces the first routers to contact. All routers receive reports on the same port; a seed
    /// names another port of its VM.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let Some(Contact { address: own, .. }) = self.own else { return };
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), own.port()));
        self.seeds.replace(seeds.filter(|seed| *seed != own));
    }

    /// Sets the entry of the registry that names a router for those whose seeds do not answer.
    pub fn set_bootstrap_entry(&mut self, now: Time, entry: BootstrapEntry) {
        self.bootstrap.set_entry(now, entry);
    }

    /// Returns whether this router is to name itself in the registry now.
    pub fn is_bootstrap_due(&self, now: Time) -> bool {
        self.own.is_some_and(|own| self.bootstrap.is_write_due(now, &own))
    }

    /// Returns the entry to write now, by which this router names itself in the registry; records the write.
    pub fn take_bootstrap_write(&mut self, now: Time) -> Option<BootstrapWrite> {
        self.bootstrap.take_write(now, &self.own?)
    }

    /// Returns the reports of the other routers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the reports of the other routers for modification.
    pub fn peers_mut(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Returns the number of routers among which an allowance is divided that no router may exceed
    /// while it is cut off; none if other routers are configured and none was heard yet.
    pub fn known_routers(&self, now: Time) -> Option<usize> {
        let assumed = Peers::assumed_fleet(self.peers.most_known(now));
        self.knows_fleet().then_some(assumed * self.possible_parts())
    }

    /// Returns the largest number of parts of the fleet that never met, among which limits are divided that no
    /// part may exceed by itself.
    pub fn possible_parts(&self) -> usize {
        self.seeds.possible_parts()
    }

    /// Returns whether another router was heard, or none is configured.
    pub fn knows_fleet(&self) -> bool {
        self.seeds.is_empty() || self.peers.has_known_any()
    }

    /// Returns the part of this router in the exchange.
    pub fn role(&self) -> ExchangeRole {
        self.role.unwrap_or(ExchangeRole::Mesh)
    }

    /// Returns whether a relay tells this router of changes of the registry, so that it need not
    /// watch the registry itself.
    pub fn is_told_of_changes(&self, now: Time) -> bool {
        self.relay_view(now) == RelayView::Answers
    }

    /// Returns whether the registry answers the relay that tells this router of changes.
    pub fn relay_view(&self, now: Time) -> RelayView {
        let is_member = self.role() == ExchangeRole::Member;
        match self.peers.is_relay_fresh(now).filter(|_| is_member) {
            None => RelayView::None,
            Some(true) => RelayView::Answers,
            Some(false) => RelayView::Lost,
        }
    }

    /// Returns the relay whose sums this router uses, and their age; none in other roles.
    pub fn sums_source(&self, now: Time) -> Option<(Contact, Duration)> {
        let (router, at) = self.sums_from?;
        Some((self.peers.members().contact(router)?, now.since(at)))
    }

    /// Returns the interval until the next report.
    pub fn interval(&self) -> Duration {
        match self.role() {
            ExchangeRole::Mesh => Self::MESH_INTERVAL,
            _ => Self::RELAY_INTERVAL,
        }
    }

    /// Returns the age up to which the reports in use may lack the work of other routers: with relays,
    /// it is passed on twice.
    pub fn report_lag(&self) -> Duration {
        match self.role() {
            ExchangeRole::Mesh => Self::MESH_INTERVAL * 2,
            _ => Self::RELAY_INTERVAL * 3,
        }
    }

    /// Returns the messages to send now, with this router's report and its news.
    pub fn tick(&mut self, now: Time, report: PeerReport, news: FleetNews) -> Vec<OutgoingMessage> {
        let Some(own) = self.own else { return Vec::new() };
        self.ticks = self.ticks.wrapping_add(1);
        self.peers.expire(now);
        self.peers.members_mut().expire(now);
        self.peers.remember_count(now);
        self.seeds.record_heard(self.peers.members());
        self.watch_relay(now);
        self.update_role(now, &own);
        self.bootstrap.update(now, &own, self.reach(now), self.peers.members());
        self.peers.choose_reports(now, self.role() == ExchangeRole::Relay);
        self.rotate_news(&report);
        self.own_report = report;
        self.news = news;
        self.news_at = now;

        let mut out = match self.role() {
            ExchangeRole::Mesh => self.mesh_messages(now, &own),
            _ => self.member_messages(now, &own),
        };
        if self.is_acting(now) {
            out.extend(self.relay_messages(now, &own));
            out.extend(self.probes(now, &own));
        }
        out.extend(self.seed_messages(now, &own, &out));
        out
    }

    /// Returns how much of the fleet this router knows. A member leaves it to its relay to look for others.
    fn reach(&self, now: Time) -> Reach {
        if self.seeds.is_empty() || self.role() == ExchangeRole::Member {
            Reach::Whole
        } else if self.peers.members().count(now) == 0 {
            Reach::Alone
        } else if self.possible_parts() > 1 {
            Reach::Part
        } else {
            Reach::Whole
        }
    }

    /// Takes a message of another router. Returns its report if it is used, and the answer.
    pub fn on_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: PeerMessage,
    ) -> (Option<PeerReport>, Option<OutgoingMessage>) {
        let Some(own) = self.own else { return (None, None) };
        let sender = Contact { address: from, ..message.sender };
        if sender.router == own.router {
            return (None, None);
        }

        let members = self.peers.members_mut();
        members.on_heard(now, sender.router, Some(sender));
        for heard in message.contacts.iter().filter(|heard| heard.contact.router != own.router) {
            members.on_told(now, heard);
        }
        let is_misdirected = self.is_misdirected(&own, &sender, message.report.as_ref());
        let used = message
            .report
            .filter(|(_, report)| report.is_plausible())
            .and_then(|(scope, report)| self.take_report(now, &sender, scope, report));

        let answer = if message.wants_sums && self.role().adds_up() {
            self.asked_at = Some(now);
            Some(self.sums_for(now, &own, &sender, message.seen))
        } else if is_misdirected {
            Some(self.message(now, &own, sender.data_centre, None))
        } else {
            None
        };
        let answer = answer.map(|message| OutgoingMessage { to: from, message });
        (used, answer)
    }

    /// Returns whether a report shows that its sender knows too little of the fleet: it is sent to a
    /// router that has no use for it.
    fn is_misdirected(
        &self,
        own: &Contact,
        sender: &Contact,
        report: Option<&(ReportScope, PeerReport)>,
    ) -> bool {
        let is_relay_of_sender = self.role().adds_up() && sender.data_centre == own.data_centre;
        matches!(report, Some((ReportScope::Router, _)))
            && self.role() != ExchangeRole::Mesh
            && !is_relay_of_sender
    }

    /// Stores a report if this router's role has a use for its scope; returns it if it is new.
    fn take_report(
        &mut self,
        now: Time,
        sender: &Contact,
        scope: ReportScope,
        report: PeerReport,
    ) -> Option<PeerReport> {
        let own = self.own?;
        let is_near = sender.data_centre == own.data_centre;
        let role = self.role();
        let stored = match scope {
            ReportScope::Router if role == ExchangeRole::Mesh => {
                self.peers.receive(now, ReportSource::Router(sender.router), report)
            }
            ReportScope::Router if role.adds_up() && is_near => {
                self.peers.relay(now, ReportSource::Router(sender.router), report)
            }
            ReportScope::DataCentre if role.adds_up() && !is_near => {
                self.peers.relay(now, ReportSource::DataCentre(sender.data_centre), report)
            }
            ReportScope::Fleet if self.accept_sums(now, sender.router, report.routers) => {
                self.seen = report.sequence;
                return self.peers.receive(now, ReportSource::Fleet, report).cloned();
            }
            _ => None,
        };

        let report = stored?.clone();
        if is_near {
            self.own_news[0].add(&report);
        }
        if let Some((_, news)) = self.all_news.front_mut() {
            news.add(&report);
        }
        Some(report)
    }

    /// Returns whether to use the sums of a relay: those of another one than before only if they
    /// cover as many routers, or the ones in use are outdated.
    fn accept_sums(&mut self, now: Time, relay: u64, routers: u32) -> bool {
        if !matches!(self.role(), ExchangeRole::Member | ExchangeRole::Standby) {
            return false;
        }
        if self.unanswered.is_some_and(|(asked, _)| asked == relay) {
            self.unanswered = None;
        }
        let is_accepted = self.sums_from.is_none_or(|(current, at)| {
            current == relay || now.since(at) > Self::RELAY_TIMEOUT || routers >= self.sums_cover
        });
        if is_accepted {
            self.sums_from = Some((relay, now));
            self.sums_cover = routers;
        }
        is_accepted
    }

    /// Passes over a relay that has not answered for too long.
    fn watch_relay(&mut self, now: Time) {
        let Some((relay, since)) = self.unanswered else { return };
        let is_heard = self.peers.members().heard_at(relay).is_some_and(|at| at > since);
        let timeout = if is_heard { Self::REFUSAL_TIMEOUT } else { Self::RELAY_TIMEOUT };
        if now.since(since) > timeout {
            self.peers.members_mut().on_silent(now, relay);
            self.unanswered = None;
        }
    }

    /// Returns whether this router exchanges sums with the other data centres: it is the relay, or
    /// the standby to which routers have turned.
    fn is_acting(&self, now: Time) -> bool {
        let is_asked = self.asked_at.is_some_and(|at| now.since(at) < Self::RELAY_TIMEOUT);
        self.role() == ExchangeRole::Relay || self.role().adds_up() && is_asked
    }

    /// Determines the role; after a change, reports that the new role does not use are dropped.
    fn update_role(&mut self, now: Time, own: &Contact) {
        let role = self.peers.members().role(now, own);
        if self.role == Some(role) {
            return;
        }

        self.role = Some(role);
        let is_mesh = role == ExchangeRole::Mesh;
        self.peers.received_mut().retain(|source| is_mesh == (source != ReportSource::Fleet));
        if !role.adds_up() {
            self.peers.clear_relayed();
        }
        if matches!(role, ExchangeRole::Mesh | ExchangeRole::Relay) {
            self.sums_from = None;
        }
        self.unanswered = None;
    }

    /// Starts the next interval of collected news with this router's own.
    fn rotate_news(&mut self, report: &PeerReport) {
        self.own_news[1] = std::mem::take(&mut self.own_news[0]);
        self.own_news[0].add(report);

        let mut news = News::default();
        news.add(report);
        self.all_news.push_front((report.sequence, news));
        self.all_news.truncate(Self::NEWS_INTERVALS);
    }

    /// Sends this router's report to all others.
    fn mesh_messages(&self, now: Time, own: &Contact) -> Vec<OutgoingMessage> {
        let report = Some((ReportScope::Router, self.own_report.clone()));
        let message = self.message(now, own, own.data_centre, report);
        let contacts = self.peers.members().contacts(now);
        contacts
            .into_iter()
            .map(|contact| OutgoingMessage { to: contact.address, message: message.clone() })
            .collect()
    }

    /// Sends this router's report to the relays of its data centre, and asks for sums.
    fn member_messages(&mut self, now: Time, own: &Contact) -> Vec<OutgoingMessage> {
        let relays = self.peers.members().relays(now, own.data_centre, Some(own));
        let is_member = self.role() != ExchangeRole::Relay;
        let first = relays.first().map(|relay| relay.router);
        if is_member && self.unanswered.map(|(asked, _)| asked) != first {
            self.unanswered = first.map(|relay| (relay, now));
        }

        let report = Some((ReportScope::Router, self.own_report.clone()));
        let message = self.message(now, own, own.data_centre, report);
        let is_current = |relay: u64| self.sums_from.is_some_and(|(current, _)| current == relay);
        relays
            .into_iter()
            .filter(|relay| relay.router != own.router)
            .map(|relay| {
                let is_asked = Some(relay.router) == first || is_current(relay.router);
                let wants_sums = is_member && is_asked;
                OutgoingMessage {
                    to: relay.address,
                    message: PeerMessage { wants_sums, ..message.clone() },
                }
            })
            .collect()
    }

    /// Sends the sums over this data centre to the relays of the other ones.
    fn relay_messages(&self, now: Time, own: &Contact) -> Vec<OutgoingMessage> {
        let mut sums = self.peers.relayed().sum_of_routers(&self.own_report);
        self.own_news[1].write_to(&mut sums);
        let report = Some((ReportScope::DataCentre, sums));
        let message = self.message(now, own, own.data_centre, report);

        let members = self.peers.members();
        let others = members.other_data_centres(now, own.data_centre);
        let relays = others.into_iter().flat_map(|other| members.relays(now, other, None));
        relays
            .map(|relay| OutgoingMessage { to: relay.address, message: message.clone() })
            .collect()
    }

    /// Sends this router's report to routers of its data centre that have fallen silent: after the
    /// loss of several routers, the others may each take themselves for the relay.
    fn probes(&self, now: Time, own: &Contact) -> Vec<OutgoingMessage> {
        let silent = self.peers.members().silent_in(now, own.data_centre, Self::RELAY_TIMEOUT);
        let report = Some((ReportScope::Router, self.own_report.clone()));
        let message = self.message(now, own, own.data_centre, report);
        let count = silent.len().min(Self::PROBES);
        let start = self.ticks as usize * Self::PROBES;
        (0..count)
            .map(|offset| silent[(start + offset) % silent.len()].address)
            .map(|to| OutgoingMessage { to, message: message.clone() })
            .collect()
    }

    /// Returns the sums over all routers but `receiver`.
    ///
    /// `seen` is the sequence number of the last sums that it received: it gets the news of all
    /// intervals that ended since.
    fn sums_for(&self, now: Time, own: &Contact, receiver: &Contact, seen: u64) -> PeerMessage {
        let mut news = News::default();
        for (_, ended) in self.all_news.iter().skip(1).filter(|(began, _)| *began >= seen) {
            news.merge(ended);
        }
        let mut sums = self.peers.relayed().sum_without(&self.own_report, receiver.router);
        news.write_to(&mut sums);
        self.message(now, own, receiver.data_centre, Some((ReportScope::Fleet, sums)))
    }

    /// Contacts all seeds while this router knows nobody, and one of them now and then later on; the router that
    /// the registry names, too, until it is known.
    fn seed_messages(
        &self,
        now: Time,
        own: &Contact,
        out: &[OutgoingMessage],
    ) -> Vec<OutgoingMessage> {
        let members = self.peers.members();
        let is_in_turn = self.ticks.is_multiple_of(Self::TICKS_PER_SEED);
        let mut seeds: Vec<SocketAddr> = Vec::new();
        if members.count(now) == 0 || self.role() == ExchangeRole::Mesh {
            seeds.extend(self.seeds.addresses());
        } else if is_in_turn {
            seeds.extend(self.seeds.in_turn(self.ticks / Self::TICKS_PER_SEED));
        }
        if self.role() != ExchangeRole::Member {
            seeds.extend(self.bootstrap.to_contact(now, own, members, is_in_turn));
        }
        if seeds.is_empty() {
            return Vec::new();
        }
        let report = Some((ReportScope::Router, self.own_report.clone()));
        let message = self.message(now, own, own.data_centre, report);
        let is_new = |seed: &SocketAddr| out.iter().all(|message| message.to != *seed);
        seeds
            .into_iter()
            .filter(is_new)
            .map(|to| OutgoingMessage { to, message: message.clone() })
            .collect()
    }

    /// Returns a message with contacts that are of use in a data centre.
    fn message(
        &self,
        now: Time,
        own: &Contact,
        data_centre: u32,
        report: Option<(ReportScope, PeerReport)>,
    ) -> PeerMessage {
        PeerMessage {
            sender: *own,
            contacts: self.peers.members().contacts_in_turn(now, data_centre, self.ticks),
            wants_sums: false,
            seen: self.seen,
            report,
            news: self.news.aged(now.since(self.news_at)),
        }
    }
}
