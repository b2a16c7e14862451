@0xb1f2c6d40a7e93d5;

# Control link between two processes of the fleet.

interface Control {
  # Opens the link; `peer` takes the messages of the other direction.
  attach @0 (name :Text, peer :Control) -> (name :Text);

  # Delivers one message.
  deliver @1 (message :Message) -> ();
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    demand @1 :Demand;
    demandResync @2 :UInt64;
    permit @3 :Permit;
    permitReturn @4 :PermitReturn;
    serviceReport @5 :ServiceReport;
    accountUpdate @6 :AccountUpdate;
    configPull @7 :UInt64;
    configDelta @8 :ConfigDelta;
    configFull @9 :Data;
  }
}

struct Heartbeat {
  incarnation @0 :UInt64;
  revision @1 :UInt64;
  union {
    router :group {
      demandSequence @2 :UInt64;
      draining @3 :Bool;
    }
    sidecar :group {
      upstream @4 :Text;
      warm @5 :Bool;
      limit @6 :UInt32;
      free @7 :UInt32;
      serving @8 :Bool;
    }
  }
}

struct QueueDemand {
  workspace @0 :Text;
  class @1 :Text;
  count @2 :UInt32;
  headAgeMicros @3 :UInt64;
  headCost @4 :UInt64;
}

struct Demand {
  sequence @0 :UInt64;
  full @1 :Bool;
  entries @2 :List(QueueDemand);
}

struct Permit {
  id @0 :UInt64;
  workspace @1 :Text;
  class @2 :Text;
}

struct PermitReturn {
  id @0 :UInt64;
  remaining @1 :UInt32;
}

struct Target {
  union {
    model @0 :Text;
    service @1 :Text;
  }
}

struct ReportEntry {
  workspace @0 :Text;
  session @1 :UInt64;
  charged @2 :Int64;
  known @3 :Int64;
  floor @4 :Int64;
  hasFloor @5 :Bool;
  backlogged @6 :Bool;
}

struct ServiceReport {
  sequence @0 :UInt64;
  target @1 :Target;
  entries @2 :List(ReportEntry);
}

struct AccountEntry {
  workspace @0 :Text;
  session @1 :UInt64;
  virtualTime @2 :Int64;
  acknowledged @3 :Int64;
  competitors @4 :UInt32;
}

struct AccountUpdate {
  target @0 :Target;
  entries @1 :List(AccountEntry);
}

struct ConfigDelta {
  base @0 :UInt64;
  digest @1 :Text;
  # Each step is the JSON array of the changes that led to one revision.
  steps @2 :List(Data);
}
