@0xd6a1f0b3c5e84a27;

# Messages between daemons. Every one may be lost, doubled or late.

interface Peer {
  deliver @0 (sender :Text, message :Message) -> ();
}

struct Message {
  union {
    ping @0 :Exchange;
    pong @1 :Exchange;
    fetch @2 :UInt64;
    notes @3 :Notes;
    snapshot @4 :Data;
    epoch @5 :Epoch;
    ask @6 :Ask;
    give @7 :Give;
    suspect @8 :Suspicion;
    cancel @9 :Cancel;
    vms @10 :List(Vm);
    # Nonce of a share that was credited.
    took @11 :UInt64;
    # Stop using the leader of a group.
    close @12 :Claim;
    # The leader is no longer used.
    closed @13 :Claim;
    # What has changed in the store since.
    follow @14 :Follow;
    passed @15 :Passed;
    # The sender, which is followed, has news of the store.
    changed @16 :Void;
  }
}

struct Exchange {
  sent @0 :UInt64;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  epoch @3 :UInt64;
  heard @4 :List(Heard);
  # The sender has a list of VMs.
  listed @5 :Bool;
  positions @6 :List(Placed);
  # Digest of that list.
  list @7 :UInt64;
  # What holds for the other VMs of the list that are not named.
  common @8 :List(Common);
  # Version of the store up to which the sender knows the list.
  version @9 :UInt64;
}

# What holds for the VMs of a failure domain.
struct Common {
  domain @0 :Text;
  age @1 :UInt64;
  revision @2 :UInt64;
  epoch @3 :UInt64;
}

# Position of a group's leader, `age` microseconds before the report.
struct Placed {
  group @0 :Text;
  term @1 :UInt64;
  lsn @2 :UInt64;
  age @3 :UInt64;
}

struct Follow {
  sent @0 :UInt64;
  # Versions of the store up to which parts are known, as JSON.
  known @1 :Data;
}

struct Passed {
  sent @0 :UInt64;
  # Parts of the store with their changes: 0 and JSON, or 1 and deflated JSON.
  parts @1 :Data;
}

struct Claim {
  group @0 :Text;
  token @1 :UInt64;
  planned @2 :Bool;
  # In `closed`: whether the sender states the highest position that it has acknowledged.
  counted @3 :Bool;
  term @4 :UInt64;
  lsn @5 :UInt64;
}

struct Heard {
  vm @0 :Text;
  incarnation @1 :UInt64;
  age @2 :UInt64;
  revision @3 :UInt64;
  epoch @4 :UInt64;
}

struct Notes {
  after @0 :UInt64;
  # Release notes as JSON, in order.
  notes @1 :List(Data);
}

struct Member {
  vm @0 :Text;
  incarnation @1 :UInt64;
}

struct Epoch {
  number @0 :UInt64;
  members @1 :List(Member);
  former @2 :List(Member);
}

struct Scarce {
  union {
    rate @0 :Text;
    connections @1 :Text;
    # Instance that is cold.
    warmup @2 :Text;
  }
}

struct Ask {
  scarce @0 :Scarce;
  epoch @1 :UInt64;
  nonce @2 :UInt64;
  units @3 :UInt64;
  tokens @4 :UInt64;
}

struct Give {
  scarce @0 :Scarce;
  epoch @1 :UInt64;
  nonce @2 :UInt64;
  units @3 :UInt64;
  tokens @4 :UInt64;
}

struct Suspicion {
  group @0 :Text;
  term @1 :UInt64;
}

struct Cancel {
  process @0 :Int32;
  secret @1 :Int32;
}

struct Vm {
  name @0 :Text;
  domain @1 :Text;
  region @2 :Text;
  peer @3 :Text;
  leaving @4 :Bool;
}
