//! Decisions of an edge router, which sends requests to upstreams itself, without sidecars.
//!
//! [`Router`] owns the state. Its methods take the current time and return what to do; nothing here
//! opens a socket or reads a clock.

mod admission;
mod backoff;
mod buffer_account;
mod call_info;
mod change_log;
mod departed;
mod event_id;
mod event_order;
mod exchange;
mod fleet_retries;
mod fleet_sums;
mod in_flight_request;
mod limit_report;
mod load;
mod loss_evidence;
mod named_limit;
mod others_admitted;
mod others_demand;
mod overload;
mod pause_detector;
mod peers;
mod placement;
mod prefix_cache;
mod pressure;
mod pressures;
mod prompt;
mod quarantine;
mod quarantine_change;
mod quarantine_key;
mod reader_watch;
mod recent_keys;
mod registry_change;
mod registry_changes;
mod registry_entry;
mod registry_outage;
mod registry_state;
mod registry_version;
mod relay_view;
mod report;
mod report_store;
mod request_identity;
mod retry_budget;
mod retry_portion;
mod retry_status;
mod rollout;
mod route;
mod route_table;
mod router;
mod router_settings;
mod service;
mod share_totals;
mod shares;
mod snapshot;
mod stop_schedule;
mod stream_bases;
mod stream_key;
mod stream_log;
mod stream_lookup;
mod stream_memory;
mod stream_origin;
mod stream_origins;
mod stream_record;
mod stream_send;
mod suspect_record;
mod suspect_report;
mod table_index;
mod unproven_starts;
mod upstream;
mod upstream_entry;
mod upstream_index;
mod upstreams;
mod window_limiter;
mod work;

pub use admission::{Admission, Decline, DeclineReason, Placement};
pub use backoff::Backoff;
pub use buffer_account::BufferAccount;
pub use call_info::CallInfo;
pub use change_log::ChangeLog;
pub use event_id::EventId;
pub use event_order::{EventOrder, EventVerdict};
pub use exchange::{
    Bootstrap, BootstrapEntry, BootstrapWrite, Contact, Exchange, ExchangeRole, FleetNews,
    HeardContact, Members, MessageExtension, News, OutgoingMessage, PeerMessage, Reach,
    ReportScope,
};
pub use in_flight_request::{InFlightRequest, SendOutcome};
pub use limit_report::LimitReport;
pub use load::{KnownLoad, Load, LoadReport, LoadUse, PaceTime, ServiceLoad, ToldLoad};
pub use loss_evidence::LossEvidence;
pub use named_limit::NamedLimit;
pub use overload::OverloadGuard;
pub use pause_detector::PauseDetector;
pub use peers::Peers;
pub use prefix_cache::{PrefixCache, PrefixTokens};
pub use pressure::Pressure;
pub use pressures::Pressures;
pub use prompt::{Prompt, PromptSegment};
pub use quarantine::Quarantine;
pub use quarantine_change::QuarantineChange;
pub use quarantine_key::QuarantineKey;
pub use reader_watch::ReaderWatch;
pub use registry_change::{RegistryChange, RevisedChange};
pub use registry_changes::RegistryChanges;
pub use registry_entry::RegistryEntry;
pub use registry_outage::RegistryOutage;
pub use registry_state::RegistryState;
pub use registry_version::RegistryVersion;
pub use relay_view::RelayView;
pub use report::{
    PeerReport, PrefilledSegments, ServiceDemand, ServicePressure, UpstreamLoad, WorkValues,
    WorkspaceUsage,
};
pub use request_identity::RequestIdentity;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use retry_portion::RetryPortion;
pub use retry_status::RetryStatus;
pub(crate) use rollout::{DutyView, EvidenceKey, Fallback, VersionChoice, VersionPlan};
pub use rollout::{
    Judged, RolloutDuty, RolloutEvent, RolloutEvidence, RolloutMark, RolloutNotice, RolloutOrder,
    RolloutPhase, RolloutReason, RolloutRecord, RolloutRole, RolloutSettings, RolloutSnapshot,
    RolloutState, RolloutSummary, RolloutVerdict, Rollouts,
};
pub use route::{Route, RouteKind, Split};
pub use route_table::{ClientLimits, RouteError, RouteTable, WorkspaceKeys};
pub use router::Router;
pub use router_settings::RouterSettings;
pub use service::{EngineSpec, ServiceSpec};
pub use shares::{Shares, UsageKey, water_fill};
pub use snapshot::Snapshot;
pub use stop_schedule::StopSchedule;
pub use stream_bases::{BaseDuty, BaseVersion, ServiceVersions, StreamBases};
pub use stream_key::StreamKey;
pub use stream_log::{RecordBatch, RecordId, RecordTicket, RecordWrite, StreamLog};
pub use stream_lookup::{StreamLookup, StreamVerdict};
pub use stream_memory::StreamMemory;
pub use stream_origin::StreamOrigin;
pub use stream_origins::StreamOrigins;
pub use stream_record::StreamRecord;
pub use stream_send::{BeginVerdict, SendRecord, StreamSend};
pub use suspect_report::SuspectReport;
pub use table_index::{ServiceRoutes, TableIndex};
pub use upstream::{Condition, Upstream};
pub use upstream_entry::{UpstreamEntry, UpstreamState};
pub use upstreams::Upstreams;
pub use window_limiter::WindowLimiter;
pub use work::{
    BatchEffect, BatchMean, HintErrors, LengthOutlook, LogHistogram, OutputLengths,
    PredictionErrors, RemainingWork, RequestWork, WorkEstimate, WorkEstimator,
};
