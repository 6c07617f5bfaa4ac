// Messages between peridothatch processes. Each frame contains an Envelope with exactly one field
// set. Structs have the fields of the data classes in peridothatch_core.message.link, by name and
// in the same order.

struct TaskShape { 1: i32 accelerators, 2: i32 cores, 3: i32 memory_mb }
struct Cell { 1: i32 task, 2: string worker, 3: list<i32> accelerators }
struct Worker { 1: string id, 2: string data_centre, 3: string rack, 4: i32 accelerators, 5: i32 cores, 6: i32 memory_mb, 7: string incarnation }
struct BackendServer { 1: string id, 2: string service_name, 3: string data_centre, 4: string region, 5: i32 slots, 6: i32 connections, 7: bool leaving }
struct Request { 1: string id, 2: string customer, 3: string service_name, 4: bool idempotent, 5: double budget_seconds, 6: binary body, 7: string content_type, 8: string trace }
struct Answer { 1: string request_id, 2: string verdict, 3: i32 status, 4: binary body, 5: string content_type, 6: string detail }

struct Hello { 1: i32 protocol_version, 2: string role, 3: string id, 4: string incarnation, 5: string data_centre, 6: string region }
struct Rejected { 1: string reason }
struct EntryAddress { 1: string id, 2: string host, 3: i32 port, 4: string data_centre, 5: string region }
struct Welcome { 1: list<EntryAddress> entries, 2: string planner, 3: i64 epoch }
struct Member { 1: string job, 2: i32 run, 3: Cell cell, 4: string state, 5: string detail, 6: string result, 7: string checkpoint }
struct AnnounceWorker { 1: Worker worker, 2: list<Member> members }
struct AnnounceBackend { 1: BackendServer backend, 2: string agent_incarnation, 3: i32 in_flight }
struct Heartbeat { 1: double t0, 2: i64 digest, 3: i32 in_flight, 4: i64 epoch }
struct GangRef { 1: string job, 2: i32 run }
struct HeartbeatAck { 1: double t0, 2: bool in_service, 3: double proof_age_seconds, 4: i64 revision, 5: i64 epoch, 6: bool planner, 7: list<GangRef> renewed, 8: bool announce }
struct Reserve { 1: string job, 2: i32 run, 3: i64 epoch, 4: list<Cell> cells, 5: TaskShape task, 6: double expires_seconds }
struct Reserved { 1: string job, 2: i32 run, 3: double t0 }
struct Refused { 1: string job, 2: i32 run, 3: string request, 4: string reason, 5: i64 highest_epoch }
struct Release { 1: string job, 2: i32 run, 3: i64 epoch }
struct Start { 1: string job, 2: i32 run, 3: i64 epoch, 4: list<string> command, 5: string checkpoint, 6: double t0, 7: double proof_age_seconds, 8: i64 revision, 9: string trace }
struct Stop { 1: string job, 2: i32 run, 3: i64 epoch, 4: bool checkpoint }
struct Checkpoint { 1: string job, 2: i32 run, 3: i64 epoch }
struct MemberState { 1: Member member, 2: string worker }
struct Dispatch { 1: Request request }
struct AnswerReady { 1: Answer answer }
struct AnswerAck { 1: string request_id }
struct Query { 1: string request_id, 2: string agent_incarnation, 3: string customer }
struct RequestState { 1: string request_id, 2: string state }
struct Cancel { 1: string request_id }
struct CapacityDigest { 1: string data_centre, 2: i64 epoch, 3: i32 free_accelerators, 4: list<i32> free_blocks, 5: i32 waiting_jobs, 6: bool in_service }
struct ConfigRevision { 1: i64 revision, 2: string change, 3: double t0, 4: double read_age_seconds }
struct RevisionsWanted { 1: i64 after, 2: double t0 }
struct JobChanged { 1: string job_id, 2: string data_centre }
struct WorkerKind { 1: i32 accelerators, 2: i32 cores, 3: i32 memory_mb, 4: i32 workers }
struct RackHardware { 1: list<WorkerKind> kinds, 2: i32 racks }
struct HardwareDigest { 1: string data_centre, 2: i64 epoch, 3: list<RackHardware> racks }

struct Envelope {
  1: optional Hello hello
  2: optional Rejected rejected
  3: optional Welcome welcome
  4: optional AnnounceWorker announce_worker
  5: optional AnnounceBackend announce_backend
  6: optional Heartbeat heartbeat
  7: optional HeartbeatAck heartbeat_ack
  8: optional Reserve reserve
  9: optional Reserved reserved
  10: optional Refused refused
  11: optional Release release
  12: optional Start start
  13: optional Stop stop
  14: optional Checkpoint checkpoint
  15: optional MemberState member_state
  16: optional Dispatch dispatch
  17: optional AnswerReady answer_ready
  18: optional AnswerAck answer_ack
  19: optional Query query
  20: optional RequestState request_state
  21: optional Cancel cancel
  22: optional CapacityDigest capacity_digest
  23: optional ConfigRevision config_revision
  24: optional RevisionsWanted revisions_wanted
  25: optional JobChanged job_changed
  26: optional HardwareDigest hardware_digest
}
