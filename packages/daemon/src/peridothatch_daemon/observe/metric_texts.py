"""Documentation of the metrics, from which ``docs/use/metrics.md`` is generated."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """Documentation of one metric.

    Attributes
    ----------
    action : str
        What an operator does when the value changes.
    """

    meaning: str
    action: str


PROCESS_TEXTS: typing.Final = {
    "peridothatch_invariant_breaches_total": Text(
        "Breaches of each invariant, with the label `invariant`; must be zero.",
        "Keep the state dump and the logs of the process and report a fault.",
    ),
    "peridothatch_resident_bytes": Text(
        "Resident memory of the process in bytes.",
        "Compare with the budget of the process; a steady rise is a fault to report.",
    ),
    "peridothatch_cpu_seconds_total": Text(
        "Processor time of the process in seconds.",
        "When the rate nears one core, add entries.",
    ),
}

_HTTP = {
    "accepted": Text("Calls that were accepted for handling.", "None; shows the load."),
    "refused": Text(
        "Calls that were refused before handling.",
        "Look for callers that send oversized or invalid calls, or add entries.",
    ),
    "in_progress": Text(
        "Calls that are being handled now.",
        "A value that stays high shows that answers take long.",
    ),
}

_DISPATCH = {
    "refused": Text(
        "Requests that were refused on arrival as not run.",
        "Check in the state dump whether the service has servers and whether queues are full.",
    ),
    "retries": Text(
        "Requests that were queued again after an attempt without an answer.",
        "Look for backend servers that fail or leave.",
    ),
    "retries_refused": Text(
        "Retries that the retry budget did not allow.",
        "Many attempts fail: look for ejected or failing backend servers of the service.",
    ),
    "answers_not_asked_for": Text(
        "Answers from an agent to which the request was not sent; counts as a breach of "
        "`own_answer`.",
        "Keep the state dump and report a fault.",
    ),
    "contradictions": Text(
        "An agent said both that a request ran and that it did not; counts as a breach of "
        "`true_not_run`.",
        "Take the backend server out of use, keep the state dump and report a fault.",
    ),
    "second_runs": Text(
        "Second whole answers to a non-idempotent request; counts as a breach of `at_most_once`.",
        "Keep the state dump and report a fault; check the work of that service for duplicates.",
    ),
    "outcomes_not_recorded": Text(
        "Outcomes of requests with an idempotency key that were discarded before the store had "
        "recorded them; a later call with the key gets `may_have_run`.",
        "Check the table service.",
    ),
    "outcomes_dropped_early": Text(
        "Answers discarded before the end of their retention time to save memory.",
        "Callers fetch answers late or answers are large; add entries.",
    ),
}

_SLOTS = {
    "second_runs_prevented": Text(
        "Dispatches of a request id that the agent had seen; nothing was run again.",
        "None; rises when connections break.",
    ),
    "crossed_answers": Text(
        "Answers that the backend server sent on the connection of another request.",
        "The answers were delivered by request id; have the backend server repaired.",
    ),
    "passed_to_leaving": Text(
        "Requests passed on more than 3 s after the backend server began to leave.",
        "A breach of `no_work_to_leaving`: keep the state dumps and report a fault.",
    ),
    "ran_after_not_run": Text(
        "Answers to a request that was reported as not run; counts as a breach of `true_not_run`.",
        "Keep the state dump and report a fault.",
    ),
    "answers_without_request": Text(
        "Answers of the backend server that belong to no open request.",
        "Have the backend server repaired when it rises without restarts.",
    ),
    "answers_dropped_early": Text(
        "Retained answers discarded to save memory; they became `may_have_run`.",
        "Entries do not acknowledge answers; check the connections to them.",
    ),
    "ids_dropped_early": Text(
        "Request ids discarded before the end of their retention time to save memory.",
        "The agent handles more requests than planned; add backend servers.",
    ),
}

_PLANNER = {
    "runs_started": Text("Runs that were committed and started.", "None; shows the work."),
    "runs_stopped": Text(
        "Runs that were stopped before all members succeeded.",
        "Look at the reason of the jobs with `peridothatch explain JOB`.",
    ),
    "members_lost": Text(
        "Members that disappeared or stopped reporting.",
        "Look for failed workers, racks and switches.",
    ),
    "stale_members_stopped": Text(
        "Members of runs that are not in the job rows, which were told to stop.",
        "None after a takeover; a steady rise is a fault to report.",
    ),
    "starts_without_proof": Text(
        "Starts that an agent refused because the service proof was too old.",
        "Check the latency of the table service and of the connections to the agents.",
    ),
    "conflicts": Text(
        "Writes of a job row that met another version; the row is read again.",
        "None while rare; a steady rise means that two planners compete.",
    ),
    "unknown_outcomes": Text(
        "Writes of a job row whose outcome was not known at once.", "Check the table service."
    ),
    "start_timeouts": Text(
        "Runs whose members did not all confirm the start within 5 s.",
        "Look for slow or paused workers.",
    ),
    "waits_for_lapse": Text(
        "Members that counted as ended only because their lease had certainly lapsed.",
        "Look for unreachable workers.",
    ),
}

_MEMBERS = {
    "starts": Text("Starts that the agent accepted.", "None; shows the work."),
    "refused_epochs": Text(
        "Messages of a planner with a lower epoch, which were refused.",
        "None after a takeover; a steady rise means that a paused entry keeps sending.",
    ),
    "started_after_out": Text(
        "Starts more than 3 s after the agent learned that its data centre was out; counts as a "
        "breach of `no_start_after_out`.",
        "Keep the state dump and report a fault.",
    ),
    "silent_worker": Text(
        "Times that the worker had not listed its tasks for so long that their leases lapsed.",
        "Look at the worker; its runs are started again elsewhere.",
    ),
    "refused_runs": Text(
        "Reservations or starts of a run that had been stopped here.",
        "None while rare.",
    ),
    "refused_proofs": Text(
        "Starts refused because the service proof was too old or of an older revision.",
        "Check the latency of the table service and of the connections to the entries.",
    ),
    "refused_reservations": Text(
        "Reservations refused, or starts without a reservation.",
        "None while rare; a steady rise means that the planner and the worker differ about what "
        "is free.",
    ),
    "lapsed_reservations": Text(
        "Reservations that ended without a start.",
        "Check the table service: commits take longer than 10 s.",
    ),
    "lapsed_leases": Text(
        "Gang leases that lapsed, after which the agent stopped its members.",
        "Check the connections to the entries and whether the data centre has a planner.",
    ),
    "taken_over": Text(
        "Tasks taken over from an earlier agent process.", "None; rises when an agent restarts."
    ),
}

_RECEPTION = {
    "calls_accepted": Text("Submissions and cancellations that are stored.", "None."),
    "calls_refused": Text(
        "Calls that were refused as not run.",
        "Look at the reason in the lines `reception:refused`.",
    ),
    "calls_unclear": Text(
        "Calls whose write was not answered in time; the caller was told that it may have run.",
        "Check the store; the lines `reception:refused` give the ages of the data that was used.",
    ),
    "jobs": Text("Jobs that the entry knows from the store.", "None; shows the load."),
}

_PEERS = {
    "calls_passed_on": Text(
        "Calls that another entry answered, because this one had lost the store.",
        "Look for `feed:lost` of this entry.",
    ),
    "calls_not_passed_on": Text(
        "Calls that no other entry answered either.", "Check the store and the network."
    ),
}

_GROUPING = {
    "groups_committed": Text(
        "Transactions of the store that hold those of several agents, or of one.",
        "None; with the next metric it shows how many are grouped.",
    ),
    "transactions_grouped": Text(
        "Transactions of agents that this entry committed.",
        "A rise shows that the store turns agents away.",
    ),
    "groups_split": Text(
        "Groups of which a condition failed, so that they were committed by halves.",
        "A rise shows agents that conflict with the scheduler; look at `grouping:conflict`.",
    ),
    "groups_held": Text(
        "Times that groups waited for a refused write of the leader on the same entry.",
        "The store's partition is full; look at `scheduler:write_refused`.",
    ),
    "groups_refused": Text(
        "Groups that a full partition of the store refused; their transactions wait for the next.",
        "Look at the latency of the store.",
    ),
    "commits_redirected": Text(
        "Transactions whose senders were told that another entry leads.", "None."
    ),
    "commits_expired": Text(
        "Transactions that were refused because their sender's time was too short for a group.",
        "The store's partition is slow; look at its latency.",
    ),
}

_COMMIT_ROUTE = {
    "commits_direct": Text("Transactions that the agent sent to the store.", "None."),
    "commits_relayed": Text(
        "Transactions that the agent let an entry commit.",
        "The store turns this machine away, its partition is busy, or the path to it is lost; "
        "look at `feed:lost`.",
    ),
    "commits_refused": Text(
        "Transactions that a full partition of the store refused.",
        "Look at the latency of the store; the agent backs off and commits through an entry.",
    ),
}

_CLIENT_LINE = "`connections:closed` names an address; find the client there."

_CONNECTIONS = {
    "head_bytes": Text("Heads refused for their size.", _CLIENT_LINE),
    "head_lines": Text("Heads refused for their number of lines.", _CLIENT_LINE),
    "head_time": Text("Heads refused because they were not complete in time.", _CLIENT_LINE),
    "framing_bytes": Text(
        "Connections closed for trailers or chunk extensions that were too long.", _CLIENT_LINE
    ),
    "body_time": Text(
        "Connections closed because an announced body did not arrive in time.", _CLIENT_LINE
    ),
    "body_after_answer": Text(
        "Connections closed because a body went on after its request was answered.", _CLIENT_LINE
    ),
    "unread_time": Text("Connections closed because answers were not read in time.", _CLIENT_LINE),
    "idle_time": Text("Connections closed because they were idle.", "None."),
    "malformed": Text("Requests refused because they were not HTTP.", _CLIENT_LINE),
    "error": Text(
        "Connections closed by an error of the protocol layer.",
        "Must stay zero. Report the `detail` of `connections:closed`.",
    ),
    "budget_connections": Text(
        "Connections refused, or idle ones closed for new ones, at the number that the process "
        "may hold.",
        "Look in the state dump at `by_listener`; add entries if the clients are ordinary.",
    ),
    "budget_address": Text("The same, at the number that one address may hold.", _CLIENT_LINE),
    "budget_memory": Text(
        "Connections closed because all of them together held too much memory.",
        "Look for large or unread requests; add memory or entries if the clients are ordinary.",
    ),
    "open": Text("Open connections of clients.", "None; shows the load."),
    "memory_bytes": Text(
        "Estimated memory of all connections with their requests and unread answers.",
        "Compare with `budget.memory_bytes` in the state dump.",
    ),
}

_SCHEDULER = {
    "claims": Text("Times that this entry became the leader.", "Look for stopped entries."),
    "renewals_carried": Text(
        "Renewals of the leader's lease in the transaction of a batch of decisions.",
        "None; each saves a transaction.",
    ),
    "runs_ordered": Text("Runs that were ordered.", "None; shows the work."),
    "runs_stopped": Text(
        "Runs that were ordered to stop.", "Look at the reason in `scheduler:stopping`."
    ),
    "preemptions": Text(
        "Times that work was stopped for an urgent job, within its customer's guarantee or the "
        "limit on lost work.",
        "A steady rise shows a shortage of workers. `scheduler:preempting` names the urgent jobs.",
    ),
    "preemptions_on_slack": Text(
        "Times that work was stopped for an urgent job because its owners still meet their "
        "objectives by the expected run times.",
        "If stopped jobs end late, look at `scheduler:preempting on slack` and their runs.",
    ),
    "runs_done": Text("Runs that ended done.", "None."),
    "runs_failed": Text("Runs that ended failed.", "Look for failing workers and jobs."),
    "orders_withdrawn": Text(
        "Orders that their agent did not claim in time and that went to another worker.",
        "A rise shows agents that have died or have lost the store.",
    ),
    "runs_lost": Text(
        "Runs that ended in another way, with their worker or its lease.",
        "Look for lost workers and for outages of the store.",
    ),
    "leases_lapsed": Text(
        "Leases of agents that were declared lapsed.", "Look for unreachable machines."
    ),
    "writes_unclear": Text(
        "Transactions that conflicted or were not answered; all rows were read again.",
        "None while rare; a steady rise means that two entries lead or the store is failing.",
    ),
    "writes_rejected": Text(
        "Transactions that the store will never accept; their jobs were isolated.",
        "Must stay zero. `scheduler:write_rejected` names the jobs and the reason.",
    ),
    "ends_unmatched": Text(
        "Ends of runs that were not open for the leader; their rows were deleted.",
        "None while rare. If a job stands still, look for `scheduler:unmatched end` with its id.",
    ),
    "ends_late": Text(
        "Ends of runs of gangs that were closed before their agents reported them.",
        "None while rare. `scheduler:late end` has their kinds; a failure among them counts as an "
        "attempt.",
    ),
    "job_rows_outdated": Text(
        "Changes of job rows that the leader learned from the feed, not from its own writes.",
        "None while rare: such a write had no answer and was applied late. Otherwise another "
        "process writes job rows.",
    ),
    "learned_not_written": Text(
        "Writes of learned run times and speeds that failed; each is retried after 10 s.",
        "None while rare: a takeover then loses more of what was learned. "
        "`scheduler:learned_not_written` has the reason.",
    ),
    "guarantees_exceeded": Text(
        "Waiting jobs that lost their guarantee to earlier jobs of their customer, or because it "
        "was lowered.",
        "None; `scheduler:guarantee exceeded` has what the customer needs and its guarantee.",
    ),
    "guaranteed_begun": Text(
        "Urgent jobs within their customer's guarantee whose first step began in time.", "None."
    ),
    "guaranteed_begun_late": Text(
        "Urgent jobs within their customer's guarantee whose first step began too late.",
        "Must stay zero on calm days. Follow the job from `scheduler:guaranteed` to its starts.",
    ),
    "leading": Text("1 while this entry leads.", "Exactly one entry leads for most of the time."),
    "jobs_open": Text("Jobs that have not ended, on the leading entry.", "None."),
    "runs_open": Text("Runs that have not ended, on the leading entry.", "None."),
    "workers_fast": Text(
        "Workers that jobs with little slack use first, on the leading entry; 0 while the speeds "
        "of the workers do not differ by more than the slack of the queues.",
        "None. `speeds` in the state dump has the estimates.",
    ),
    "workers_slow": Text(
        "Workers that jobs with little slack use last, on the leading entry.",
        "If they should be as fast as the others, look at these machines.",
    ),
    "customers_take_turns": Text(
        "1 while the guarantees in force are so unequal that customers take turns.",
        "Compare `shares` in the state dump of the leading entry when a customer's jobs wait.",
    ),
}

_SUPERVISOR = {
    "starts_confirmed": Text("Starts that the worker confirmed.", "None; shows the work."),
    "starts_refused": Text(
        "Starts that the worker refused.", "Look at the reason in `supervisor:start_answered`."
    ),
    "starts_unanswered": Text(
        "Starts without a usable answer; they may be carried out late.", "Check the worker."
    ),
    "stops_unanswered": Text("Stops that the worker did not confirm.", "Check the worker."),
    "writes_failed": Text("Renewals of the lease that failed.", "Check the store."),
    "renewals_late": Text(
        "Renewals that were applied with less than half of the lease left.",
        "Look at `supervisor:renewed_late`: the way that the write took, and how long it waited.",
    ),
    "leases_expired": Text(
        "Leases that ended while runs were at work; the worker has stopped them.",
        "Check the store, and `supervisor:renewed_late` before that time.",
    ),
    "incarnations_changed": Text(
        "New incarnations of the worker under a running agent.",
        "None after a planned restart; otherwise look at the worker.",
    ),
    "ends_passed_over": Text(
        "Ends that the worker may forget without a record, because their numbers are missing from "
        "its list or their orders are gone.",
        "None after a restart of the agent; otherwise compare `supervisor:ends_passed_over` with "
        "the ends of the runs.",
    ),
    "runs_disappeared": Text(
        "Runs that the worker lists neither as running nor as ended any more.",
        "The run is recorded as lost and runs again, although it may have been done: compare "
        "`supervisor:ends_acknowledged` before that time, and report a fault.",
    ),
    "heartbeats_ignored": Text(
        "Heartbeats that do not describe the worker that runs at the worker's address.",
        "Find their sender by `supervisor:heartbeat_ignored`. A worker whose own heartbeats are "
        "ignored gets no new runs: compare `instance`, `started_ms` and `service` with its lists.",
    ),
    "runs": Text("Runs that the agent holds.", "None."),
    "ends_waiting": Text(
        "Ends that are not in the store yet.", "Check the store when the value stays high."
    ),
}

# By task name in the state dump; ``planner`` stands for the planner task of each data centre.
TASK_TEXTS: typing.Final = {
    "http": _HTTP,
    "dispatch": _DISPATCH,
    "planner": _PLANNER,
    "slots": _SLOTS,
    "members": _MEMBERS,
    "commit_route": _COMMIT_ROUTE,
    "connections": _CONNECTIONS,
    "grouping": _GROUPING,
    "peers": _PEERS,
    "reception": _RECEPTION,
    "scheduler": _SCHEDULER,
    "supervisor": _SUPERVISOR,
}
