@0xb7d1f3a2c45e9068;
# Frames between the processes of a fleet.  Each frame is preceded by its
# length, four bytes in little-endian order.  All frames of one exchange have
# the same id in `exchange`; the side that opens the exchange chooses it.

struct Frame {
  exchange @0 :UInt64;
  union {
    none @1 :Void;
    # Connection setup and control
    hello @2 :Hello;
    challenge @3 :Challenge;
    proof @4 :Proof;
    ping @5 :Ping;
    pong @6 :Pong;
    problem @7 :Problem;
    cancel @8 :Cancel;
    # Calls between nodes
    callRequest @9 :Void;     # encoded by msgspec, see wire.py
    callAnswer @10 :Void;     # encoded by msgspec
    bodyChunk @11 :BodyChunk;
    window @12 :Window;
    # Replicated logs
    voteRequest @13 :VoteRequest;
    voteReply @14 :VoteReply;
    appendRequest @15 :AppendRequest;
    appendReply @16 :AppendReply;
    snapshotChunk @17 :SnapshotChunk;
    snapshotReply @18 :SnapshotReply;
    statusRequest @19 :StatusRequest;
    statusReply @20 :StatusReply;
    # Configuration and membership
    propose @21 :Propose;
    proposeReply @22 :ProposeReply;
    watch @23 :Watch;
    watchSnapshot @24 :WatchSnapshot;
    watchDelta @25 :WatchDelta;
    beat @26 :Beat;
    beatReply @27 :BeatReply;
    renewLeases @28 :RenewLeases;
    renewReply @29 :RenewReply;
    # Budgets of organisations
    grantRequest @30 :GrantRequest;
    grant @31 :Grant;
    grantReturn @32 :GrantReturn;
    handover @33 :Handover;
    accepted @34 :Accepted;
    resume @35 :Void;         # encoded by msgspec
    # Requests that crash backend servers
    crashNews @36 :CrashNews;
    # Proofs of the configuration
    proofAgeRequest @37 :ProofAgeRequest;
    proofAgeReply @38 :ProofAgeReply;
  }
}

struct Hello {
  name @0 :Text;
  role @1 :Text;
  instance @2 :Text;
  nonce @3 :Data;
  version @4 :UInt32;
  level @5 :UInt32;
}

struct Challenge {
  name @0 :Text;
  role @1 :Text;
  instance @2 :Text;
  nonce @3 :Data;
  proof @4 :Data;
  level @5 :UInt32;
}

struct Proof { proof @0 :Data; }

struct Ping { seq @0 :UInt64; load @1 :Data; sentMs @2 :UInt64; }
struct Pong { seq @0 :UInt64; load @1 :Data; }

struct Problem {
  code @0 :Text;
  problem @1 :Text;
  remedy @2 :Text;
  retryAfterMs @3 :UInt32;
  outcome @4 :Text;         # ran, not-run or unknown
  retriesLeft @5 :UInt8;
  mayRetry @6 :Bool;
  load @7 :Data;
}

struct Cancel { reason @0 :Text; }

struct BodyChunk { data @0 :Data; last @1 :Bool; }
struct Window { credit @0 :UInt32; }

struct LogEntry {
  term @0 :UInt64;
  index @1 :UInt64;
  kind @2 :Text;
  payload @3 :Data;
}

struct VoteRequest {
  group @0 :Text;
  term @1 :UInt64;
  candidate @2 :Text;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
  preVote @5 :Bool;
  incarnation @6 :Text;
  transfer @7 :Bool;        # the leader requested this election
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  incarnation @2 :Text;
}

struct AppendRequest {
  group @0 :Text;
  term @1 :UInt64;
  leader @2 :Text;
  previousIndex @3 :UInt64;
  previousTerm @4 :UInt64;
  entries @5 :List(LogEntry);
  commitIndex @6 :UInt64;
  seq @7 :UInt64;
  confirmedAgeMs @8 :UInt32;
  campaign @9 :Bool;        # tells the receiver to start an election
}

struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  matchIndex @2 :UInt64;
  incarnation @3 :Text;
  seq @4 :UInt64;
}

struct SnapshotChunk {
  group @0 :Text;
  term @1 :UInt64;
  leader @2 :Text;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
  offset @5 :UInt64;
  data @6 :Data;
  last @7 :Bool;
}

struct SnapshotReply {
  term @0 :UInt64;
  offset @1 :UInt64;
  incarnation @2 :Text;
}

struct StatusRequest { group @0 :Text; }

struct StatusReply {
  name @0 :Text;
  role @1 :Text;
  term @2 :UInt64;
  leader @3 :Text;
  lastIndex @4 :UInt64;
  commitIndex @5 :UInt64;
  incarnation @6 :Text;
  clusterId @7 :Text;
  detail @8 :Data;
}

struct Propose { group @0 :Text; payload @1 :Data; forwarded @2 :Bool; kind @3 :Text; }
struct ProposeReply { outcome @0 :Data; }

struct Watch {
  name @0 :Text;
  instance @1 :Text;
  term @2 :UInt64;
  revision @3 :UInt64;
  services @4 :List(Text);
  allServices @5 :Bool;
  compressed @6 :Bool;      # whether compressed changes are understood
  hostsOnly @7 :Bool;       # asks for the list of control hosts alone
}

struct WatchSnapshot {
  term @0 :UInt64;
  revision @1 :UInt64;
  changes @2 :Data;
  service @3 :Text;         # set if it holds the servers of one service only
  compressed @4 :Bool;
}

struct WatchDelta {
  term @0 :UInt64;
  revision @1 :UInt64;
  changes @2 :Data;
  compressed @3 :Bool;
}

struct Beat {
  seq @0 :UInt64;
  revision @1 :UInt64;
  services @2 :List(Text);  # further services to watch
  status @3 :Data;
}

struct BeatReply {
  seq @0 :UInt64;
  term @1 :UInt64;
  revision @2 :UInt64;
  ageMs @3 :UInt32;
  leader @4 :Text;
}

struct RenewLeases { names @0 :List(Text); instances @1 :List(Text); seq @2 :UInt64; }
struct RenewReply { seq @0 :UInt64; term @1 :UInt64; ageMs @2 :UInt32; commitIndex @3 :UInt64; }

struct ProofAgeRequest {
  node @0 :Text;
  about @1 :Text;
}

struct ProofAgeReply {
  ageMs @0 :UInt32;
  silentMs @1 :UInt32;
}

struct GrantRequest {
  organisation @0 :Text;
  epoch @1 :UInt64;
  wanted @2 :UInt32;
  waiting @3 :UInt32;
  waitMs @4 :UInt32;
  node @5 :Text;
  spent @6 :UInt32;
}

struct Grant {
  epoch @0 :UInt64;
  serial @1 :UInt64;
  ttlMs @2 :UInt32;
  tokens @3 :UInt32;
  later @4 :UInt32;
  laterMs @5 :Float64;
  spacingMs @6 :Float64;
  nextMs @7 :Float64;
  scarce @8 :Bool;
}

struct GrantReturn {
  organisation @0 :Text;
  epoch @1 :UInt64;
  returned @2 :UInt32;
  serial @3 :UInt64;
}

struct Handover {
  shard @0 :Text;
  epoch @1 :UInt64;
  state @2 :Data;
}

struct Accepted { revision @0 :UInt64; }

struct CrashNews {
  service @0 :Text;
  digest @1 :Data;
  news @2 :Data;
  known @3 :Data;           # hashes of entries
  fetches @4 :Bool;
}
