# The messages between daemons.
@0xb1f0c3d95a7e4421;

interface Door {
  # Gives access to whoever knows the deployment's token.
  enter @0 (from :Text, token :Data) -> (peer :Peer);
}

interface Peer {
  call @0 (req :Request) -> (res :Response);
}

struct Request {
  union {
    beat @0 :Beat;
    pushLimits @1 :Data;        # the table of weights and limits, as JSON
    pullLimits @2 :UInt64;      # the version that the caller has
    acquire @3 :Acquire;
    release @4 :Release;
    offer @5 :Offer;
    cancel @6 :Cancel;
    jobStatus @7 :UInt64;       # the job
    explain @8 :UInt64;         # the job
    workers @9 :Text;           # the shard
    look @10 :Void;             # shards changed: read them now
    waiting @11 :Text;          # the queue
    advise @12 :Advise;
    store @13 :Store;           # store a job for another daemon
    withdraw @14 :UInt64;       # make it durable that a job is cancelled
  }
}

struct Response {
  union {
    beat @0 :Beat;
    version @1 :UInt64;         # the version of the table that the answering daemon has
    limits @2 :Data;            # the table, empty if the caller's is as new
    permit @3 :Permit;
    done @4 :Void;
    refused @5 :Refused;
    text @6 :Data;              # JSON for an operator or a caller
    count @7 :UInt64;
    advice @8 :List(Ticket);
  }
}

struct Beat {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  limitsVersion @2 :UInt64;
  draining @3 :Bool;
  shards @4 :List(Aggregate);
  address @5 :Text;             # where the daemon takes calls, if it has to be told
  leads @6 :UInt64;             # the term in which it owns the cell, 0 if it does not
  processorsMilli @7 :UInt64;   # what it has for owning the cell, in thousandths of a core; 0 if it can't write now
  tableLatencyMs @8 :UInt64;    # how long the table service takes to answer it
}

struct Aggregate {
  # What an owner says of a shard, once for each beat.
  shard @0 :Text;
  epoch @1 :UInt64;
  freeCpuMilli @2 :UInt64;
  freeMemoryMib @3 :UInt64;
  freeAccelerators @4 :UInt64;
  waiting @5 :UInt64;
  largestCpuMilli @6 :UInt64;
  largestMemoryMib @7 :UInt64;
  largestAccelerators @8 :UInt64;
}

struct Acquire {
  shard @0 :Text;
  row @1 :Text;
  requestId @2 :Text;
  waitMs @3 :UInt64;
}

struct Permit {
  id @0 :UInt64;
  target @1 :Text;              # address and port
  expiresMs @2 :UInt64;
}

struct Release {
  shard @0 :Text;
  id @1 :UInt64;
  healthy @2 :Bool;             # whether the target answered
}

struct Offer {
  shard @0 :Text;
  job @1 :UInt64;
}

struct Store {
  job @0 :UInt64;
  body @1 :Data;                # the job, as JSON
}

struct Advise {
  # Ask the adviser about a step of a job.
  job @0 :UInt64;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  workers @3 :List(Text);
  waitMs @4 :UInt64;
}

struct Ticket {
  worker @0 :Text;
  text @1 :Text;
}

struct Cancel {
  shard @0 :Text;
  jobs @1 :List(UInt64);
}

struct Refused {
  code @0 :UInt16;
  retryAfterMs @1 :UInt64;
  message @2 :Text;
}
