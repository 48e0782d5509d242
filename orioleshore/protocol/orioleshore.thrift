// Messages between the processes of the system.
// Fields are only added; older processes skip unknown fields.

namespace py wire

enum Kind {
  PRE_VOTE = 1,
  PRE_VOTE_REPLY = 2,
  VOTE = 3,
  VOTE_REPLY = 4,
  APPEND = 5,
  APPEND_REPLY = 6,
  SNAPSHOT_CHUNK = 7,
  SNAPSHOT_REPLY = 8,
  RELEASE = 9,
  PROPOSE = 20,
  PROPOSE_REPLY = 21,
  QUERY = 22,
  QUERY_REPLY = 23,
  SUBSCRIBE = 30,
  CONFIG_DELTA = 31,
  VERSION_REPORT = 32,
  PROBE = 40,
  PROBE_ACK = 41,
  INDIRECT_PROBE = 42,
  SLOT_REQUEST = 50,
  SLOT_GRANT = 51,
  SLOT_RETURN = 52,
  ANNOUNCE = 60,
  ANNOUNCE_ACK = 61,
  GROUP_ADDRESSES = 70
}

struct Envelope {
  1: i16 protocol_version,
  2: string sender,
  3: i64 incarnation,
  4: i32 kind,
  5: i64 correlation,
  6: binary body,
  7: string reply_address,
  8: i64 recipient = 0
}

struct PreVote {
  1: i64 term,
  2: i64 last_index,
  3: i64 last_term,
  4: string stamp,
  5: i64 round = 0
}

struct PreVoteReply {
  1: i64 term,
  2: bool granted,
  3: string stamp,
  4: bool blank,
  5: i64 fresh_round = 0
}

struct Vote {
  1: i64 term,
  2: i64 last_index,
  3: i64 last_term,
  4: string stamp,
  5: i64 fresh_round = 0
}

struct VoteReply {
  1: i64 term,
  2: bool granted,
  3: string stamp,
  4: bool blank
}

struct Release {
  1: i64 term,
  2: string successor
}

struct Entry {
  1: i64 index,
  2: i64 term,
  3: i16 kind,
  4: binary data
}

struct Append {
  1: i64 term,
  2: i64 previous_index,
  3: i64 previous_term,
  4: list<Entry> entries,
  5: i64 commit_index,
  6: i64 round
}

struct AppendReply {
  1: i64 term,
  2: bool success,
  3: i64 match_index,
  4: i64 round,
  5: string stamp
}

struct SnapshotChunk {
  1: i64 term,
  2: i64 last_index,
  3: i64 last_term,
  4: i64 offset,
  5: binary data,
  6: bool done
}

struct SnapshotReply {
  1: i64 term,
  2: i64 last_index,
  3: i64 next_offset,
  4: string stamp
}

struct Propose {
  1: binary command
}

struct ProposeReply {
  1: string error_kind,
  2: string message,
  3: list<string> details,
  4: binary answer,
  5: string leader
}

struct Query {
  1: string subject,
  2: binary parameters
}

struct QueryReply {
  1: string error_kind,
  2: string message,
  3: binary answer,
  4: string leader
}

struct Subscribe {
  1: i64 version,
  2: list<string> sections
}

struct ConfigDelta {
  1: i64 from_version,
  2: i64 to_version,
  3: binary edits,
  4: bool full
}

struct VersionReport {
  1: i64 version
}

struct Rumour {
  1: i16 kind,
  2: string subject,
  3: i64 incarnation,
  4: string state,
  5: binary data
}

struct Probe {
  1: i64 sequence,
  2: list<Rumour> rumours
}

struct ProbeAck {
  1: i64 sequence,
  2: string subject,
  3: list<Rumour> rumours
}

struct IndirectProbe {
  1: i64 sequence,
  2: string subject,
  3: string subject_address,
  4: list<Rumour> rumours
}

struct SlotRequest {
  1: string upstream,
  2: i32 wanted,
  3: i32 held
}

struct SlotGrant {
  1: string upstream,
  2: i32 granted,
  3: i64 lease_ms,
  4: i64 lease
}

struct SlotReturn {
  1: string upstream,
  2: i32 returned,
  3: i64 lease
}

struct Announce {
  1: binary upstream
}

struct AnnounceAck {
  1: string address,
  2: i64 incarnation
}

struct GroupAddresses {
  1: i64 term,
  2: string leader,
  3: list<string> members
}
