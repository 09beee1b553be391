"""The platform's rules: for each one the code that implements it, its test, and a mutation.

`python -m tests.test_rules_page` writes `docs/notes/rules.md` from this table.
`tests/test_rules_page.py` checks for each row that the code and the test exist, and that the
test fails under the row's mutation.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Callable


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """A replacement for the code that implements a rule; `target` is `module:attribute.path`."""

    target: str
    replacement: Any


@dataclass(frozen=True, kw_only=True)
class Requirement:
    """One requirement of a rule, with the code that implements it and its test.

    `test` has to fail under `mutation` if there is one. Otherwise `planted_test` is a test
    that plants a violation and expects it to be found. `faults` are those of the platform
    model or of the bench under which the requirement matters.
    """

    rule: str
    source: str
    text: str
    code: str
    test: str
    faults: str
    mutation: Mutation | None = None
    planted_test: str = ""


def returning(value: Any) -> Callable[..., Any]:
    """Return a function that returns `value` for any arguments."""
    return lambda *_, **__: value


def _with_seal(original: Callable[..., Any]) -> Callable[..., Any]:
    def sealed_reply(**fields: Any) -> Any:
        reply = original(**fields)
        reply.headers["Kelp-Seal"] = "a.1"
        return reply

    return sealed_reply


def _reset_as_close(original: Callable[..., Any]) -> Callable[..., Any]:
    def lost(connection: Any, error: OSError | None) -> None:
        connection.on_eof()
        original(connection, error)

    return lost


def _without_instance(original: Callable[..., Any]) -> Callable[..., Any]:
    def call(codec: Any, *, ask: Any) -> Any:
        http_call = original(codec, ask=ask)
        del http_call.headers[codec.names.expect_instance]
        return http_call

    return call


def _with_long_deadline(original: Callable[..., Any]) -> Callable[..., Any]:
    def call(codec: Any, *, ask: Any) -> Any:
        http_call = original(codec, ask=ask)
        http_call.headers[codec.names.deadline_ms] = "60000"
        return http_call

    return call


def _with_late_deadline(original: Callable[..., Any]) -> Callable[..., Any]:
    def bind(*, record: Any, context: Any) -> bool:
        is_bound = original(record=record, context=context)
        record.due_us += 3_600_000_000
        return bool(is_bound)

    return bind


def _admit_as_rank_zero(*, in_flight: int, rank: int) -> bool:
    return in_flight < 512


@dataclass(frozen=True, kw_only=True)
class WrappedOriginal:
    """A replacement that is made from the function that it replaces."""

    make: Callable[[Callable[..., Any]], Callable[..., Any]]


EDGE, CORE, HTTP = "kelpstage/edge", "kelpstage/core", "kelpstage/common/http"
AT_MOST_ONCE = "tests.test_at_most_once.AtMostOnce"
SIM = "tests.test_platform_sim"
PARTITIONS = "tests.test_core_cuts"
MAY_HAVE_RUN = f"{AT_MOST_ONCE}.test_what_may_have_run_is_never_sent_again"
REPLY_UNCHANGED = f"{AT_MOST_ONCE}.test_backend_answer_is_returned_unchanged"
SEALED = "kelpstage.edge.forward.sealed_answer"

ROWS: tuple[Requirement, ...] = (
    Requirement(
        rule="MIXED",
        source="RULES",
        text="a successful reply carries its backend's seal",
        code=f"{EDGE}/forward/sealed_answer.py:SealedCodec.read_forwarded",
        test=MAY_HAVE_RUN,
        mutation=Mutation(target=f"{SEALED}:is_seal", replacement=returning(True)),
        faults="`garble`",
    ),
    Requirement(
        rule="MIXED",
        source="RULES",
        text="a reply is used only for the request that it names",
        code=f"{EDGE}/forward/sealed_answer.py:SealedCodec._owner_of",
        test=REPLY_UNCHANGED,
        mutation=Mutation(target=f"{SEALED}:SealedCodec._owner_of", replacement=returning(1)),
        faults="`garble`",
    ),
    Requirement(
        rule="MIXED",
        source="NEWS-18",
        text="an error reply of the edge itself carries no seal",
        code=f"{EDGE}/web/forward.py:failure_reply",
        test=MAY_HAVE_RUN,
        mutation=Mutation(
            target="kelpstage.edge.web.forward:failure_reply",
            replacement=WrappedOriginal(make=_with_seal),
        ),
        faults="`srv_grey`",
    ),
    Requirement(
        rule="MIXED",
        source="NEWS-22",
        text="a reply without a length is complete at an orderly close, not at a reset",
        code=f"{HTTP}/reply_parser.py:ReplyParser.end",
        test="tests.test_http.ClientReplies.test_reply_without_a_length_is_lost_on_reset",
        mutation=Mutation(
            target="kelpstage.common.http.client_connection:ClientConnection.on_closed",
            replacement=WrappedOriginal(make=_reset_as_close),
        ),
        faults="`srv_reset`",
    ),
    Requirement(
        rule="MIXED",
        source="RULES",
        text="a gathered reply names its parts, counts the missing ones, and meets the quorum",
        code=f"{EDGE}/gather/stages/settle.py:_settle_root",
        test=f"{SIM}.Scenarios.test_backends_crash_drain_and_send_faulty_replies",
        planted_test="tests.test_rules.Planted.test_every_planted_violation_is_caught_by_its_rule",
        faults="`many_dark`, `shard_down`",
    ),
    Requirement(
        rule="UNASKED",
        source="RULES",
        text="a backend runs only what the client sent, once per request id, nothing smuggled",
        code=f"{EDGE}/forward/request.py:read_request",
        test="tests.test_connection_walks.ServerWalks.test_walks",
        planted_test="tests.test_rules.Planted.test_every_planted_violation_is_caught_by_its_rule",
        faults="all",
    ),
    Requirement(
        rule="UNASKED",
        source="NEWS-22",
        text="after an early reply to a request that is not fully sent the connection is closed",
        code=f"{HTTP}/client_connection.py:ClientConnection._handle_replies",
        test="tests.test_http.ClientRequests.test_early_reply_to_a_partly_sent_request_closes_the_connection",
        mutation=Mutation(
            target="kelpstage.common.http.connection:Connection.unsent", replacement=returning(0)
        ),
        faults="bench: long bodies",
    ),
    Requirement(
        rule="TWICE",
        source="RULES",
        text="a request that may run only once is not retried once a byte may have been sent",
        code=f"{EDGE}/gather/stages/merge.py:surely_not_run",
        test=MAY_HAVE_RUN,
        mutation=Mutation(
            target="kelpstage.edge.gather.stages.merge:surely_not_run", replacement=returning(True)
        ),
        faults="`srv_desk`, `srv_reset`",
    ),
    Requirement(
        rule="REFUSED",
        source="RULES",
        text="503 is returned only for a request that has not run and will not run",
        code=f"{EDGE}/gather/request_state.py:RequestState.may_have_run",
        test=MAY_HAVE_RUN,
        mutation=Mutation(
            target="kelpstage.edge.gather.request_state:RequestState.may_have_run",
            replacement=returning(False),
        ),
        faults="`srv_desk`, `garble`",
    ),
    Requirement(
        rule="DENIED",
        source="NEWS-22",
        text="an edge that has no configuration, or that may not serve, answers 503",
        code=f"{EDGE}/lease/lease_holder.py:LeaseHolder.refusal",
        test="tests.test_rules_upheld.WithoutConfiguration.test_it_answers_503_and_when_to_come_back",
        mutation=Mutation(
            target="kelpstage.edge.lease.lease_holder:LeaseHolder.refusal",
            replacement=returning(""),
        ),
        faults="`herd_kill`, `closing_dark`",
    ),
    Requirement(
        rule="ROUTE",
        source="RULES",
        text="each attempt names its instance, so that no other instance runs it",
        code=f"{EDGE}/forward/sealed_answer.py:SealedCodec.call",
        test="tests.test_rules_upheld.AttemptHeaders.test_the_instance_is_named",
        mutation=Mutation(
            target=f"{SEALED}:SealedCodec.call", replacement=WrappedOriginal(make=_without_instance)
        ),
        faults="`srv_crash` with reused addresses",
    ),
    Requirement(
        rule="DRAIN",
        source="RULES, NEWS-18",
        text="no request is sent to an instance that the endpoint list shows as draining or gone",
        code=f"{EDGE}/backend/eligibility.py:Eligibility.refusal_of_instance",
        test="tests.test_backends.BackendRegistryTest.test_a_drain_is_permanent",
        mutation=Mutation(
            target="kelpstage.edge.backend.registry:BackendRegistry.refusal_of_instance",
            replacement=returning(""),
        ),
        faults="`srv_drain`, `reshard`",
    ),
    Requirement(
        rule="DRAIN",
        source="NEWS-22",
        text="a machine that is asked to stop reports at once that it is not ready",
        code=f"{EDGE}/app.py:Edge.not_ready_reason",
        test="tests.test_rules_upheld.GracefulStop.test_it_is_not_ready_and_serves_what_it_has",
        mutation=Mutation(
            target="kelpstage.edge.app:Edge.not_ready_reason", replacement=returning("")
        ),
        faults="`roll_term`",
    ),
    Requirement(
        rule="LOST",
        source="RULES",
        text="a request read before a shutdown is answered, also on keep-alive connections",
        code=f"{HTTP}/server.py:HttpServer.close",
        test="tests.test_rules_upheld.KeptConnections.test_a_request_in_work_is_answered",
        mutation=Mutation(
            target="kelpstage.common.http.server_connection:ServerConnection.is_idle",
            replacement=returning(True),
        ),
        faults="`roll_term`",
    ),
    Requirement(
        rule="LOST",
        source="RULES",
        text="an acknowledged write survives any closing fault",
        code=f"{CORE}/store/task.py:DiskTask.run",
        test="tests.test_beyond_tolerance.OverlappingLosses"
        ".test_acknowledged_writes_survive_until_all_cores_return",
        planted_test="tests.test_store_planted_faults",
        faults="`closing_power`, `closing_kill`, `closing_wipe`, `closing_dark`, `closing_early`",
    ),
    Requirement(
        rule="CONFIG",
        source="RULES",
        text="no machine serves a configuration older than an acknowledged one",
        code=f"{EDGE}/lease/lease_holder.py:LeaseHolder.has_lease",
        test="tests.test_leases.SlowClock.test_the_lease_margin_covers_an_8_percent_slow_clock",
        planted_test="tests.test_leases.PlantedFaults.test_an_edge_that_serves_past_its_lease",
        faults="`config_changes`, `core_cut`, `node_freeze`",
    ),
    Requirement(
        rule="CONFIG",
        source="RULES",
        text="no machine installs a configuration older than its own",
        code=f"{EDGE}/lease/lease_holder.py:LeaseHolder.install",
        test="tests.test_rules_upheld.EpochOrder.test_an_older_state_is_not_installed",
        mutation=Mutation(
            target="kelpstage.edge.lease.lease_holder:LeaseHolder.install",
            replacement=returning(True),
        ),
        faults="`config_changes`",
    ),
    Requirement(
        rule="CONFIG",
        source="RULES",
        text="at most one write is accepted on each version, and no invalid or conflicting one",
        code=f"{CORE}/state/machine.py:Machine.apply",
        test=(
            "tests.test_orders.ConcurrentWrites"
            ".test_one_of_two_writes_of_a_version_wins_in_any_arrival_order"
        ),
        planted_test="tests.test_orders.WritesDuringFaults.test_records_lost_in_a_restart_are_detected",
        faults="`config_race`, `one_number`, `config_invalid`",
    ),
    Requirement(
        rule="CONFIG",
        source="NEWS-18",
        text="an accepted write that is repeated is acknowledged again, never rejected",
        code=f"{CORE}/leases/configuration_writes.py:ConfigurationWrites._look_up",
        test="tests.test_orders.RequestRecords"
        ".test_a_superseded_write_is_acknowledged_again_after_thousands_of_writes",
        planted_test="tests.test_orders.WritesDuringFaults.test_missing_lookups_are_detected",
        faults="`ack_lost`, `order_repeated`",
    ),
    Requirement(
        rule="CONFIG",
        source="NEWS-23",
        text="any machine answers a read with the newest configuration, or with 503",
        code=f"{CORE}/web/operators.py:_confirm_read",
        test=f"{PARTITIONS}.CoreFreezes.test_reads_are_current_when_a_core_resumes",
        planted_test=f"{PARTITIONS}.PlantedFaults.test_reads_without_the_read_index",
        faults="`core_halves`, `core_cut`, `race_in_cut`",
    ),
    Requirement(
        rule="CONFIG",
        source="NEWS-23",
        text="reads return the newest configuration despite wrong clocks and partitions",
        code=f"{CORE}/raft/reads.py:on_read_index",
        test="tests.test_beyond_tolerance.PartitionIntoHalves"
        ".test_no_stale_read_and_no_permanent_rejection",
        planted_test="tests.test_beyond_tolerance.WrongClocks.test_planted_read_from_memory_is_detected",
        faults="`core_halves`",
    ),
    Requirement(
        rule="CONFIG",
        source="NEWS-22",
        text="a request has its final reply by its route's deadline",
        code=f"{EDGE}/gather/stages/admit.py:_bind_forward",
        test="tests.test_rules_upheld.AttemptHeaders.test_the_routes_deadline_ends_it",
        mutation=Mutation(
            target="kelpstage.edge.gather.stages.admit:_bind_forward",
            replacement=WrappedOriginal(make=_with_late_deadline),
        ),
        faults="`srv_dark`, `many_slow`",
    ),
    Requirement(
        rule="CONFIG",
        source="NEWS-23",
        text="the traffic of a weighted route is split by its weights",
        code=f"{EDGE}/gather/stages/admit.py:draw",
        test="tests.test_rules_upheld.WeightedRoute.test_each_part_gets_its_share",
        mutation=Mutation(
            target="kelpstage.edge.gather.stages.admit:draw", replacement=returning("a")
        ),
        faults="`config_change` (splits)",
    ),
    Requirement(
        rule="BUDGET",
        source="RULES",
        text="retries stay within the retry ratio and the slack, in total over all machines",
        code=f"{EDGE}/retries/budget.py:Budget.try_acquire",
        test="tests.test_backends.RetryBudgetTest"
        ".test_a_restarted_edge_has_no_slack_for_one_window",
        mutation=Mutation(
            target="kelpstage.edge.retries.budget:Budget._room_under_ratio",
            replacement=returning(9),
        ),
        faults="`many_slow`, `retry_abuse`",
    ),
    Requirement(
        rule="BUDGET",
        source="NEWS-18, NEWS-22",
        text="no request is sent to more backends of a shard than its route has attempts",
        code=f"{EDGE}/gather/request_state.py:RequestState.has_attempt",
        test="tests.test_attempts.AttemptLimit.test_attempt_limit_holds_over_all_nodes",
        mutation=Mutation(
            target="kelpstage.edge.gather.request_state:RequestState.has_attempt",
            replacement=returning(True),
        ),
        faults="`many_dark`, `node_kill`",
    ),
    Requirement(
        rule="BUDGET",
        source="NEWS-22",
        text="the deadline sent to a backend is no longer than the time left",
        code=f"{EDGE}/forward/sealed_answer.py:SealedCodec.call",
        test="tests.test_rules_upheld.AttemptHeaders.test_no_more_time_than_is_left",
        mutation=Mutation(
            target=f"{SEALED}:SealedCodec.call",
            replacement=WrappedOriginal(make=_with_long_deadline),
        ),
        faults="`srv_slow`",
    ),
    Requirement(
        rule="GONE",
        source="NEWS-18, NEWS-22, NEWS-23",
        text="nothing is sent for a client that has disconnected, and its attempts are cancelled",
        code=f"{EDGE}/gather/request_state.py:RequestState.is_droppable",
        test="tests.test_cancellation.Repeatable.test_attempts_are_cancelled_when_the_client_leaves",
        planted_test=f"{SIM}.ViolationDetection.test_requests_that_outlive_their_client_are_detected",
        faults="`clients_leave`",
    ),
    Requirement(
        rule="GONE",
        source="NEWS-18, NEWS-22, NEWS-23",
        text="the child nodes are notified of the disconnect, and cancel their parts",
        code=f"{EDGE}/gather/child_queries.py:ChildQueries.cancel",
        test="tests.test_cancellation.SubtreeCancellation.test_working_children_are_sent_a_cancellation",
        planted_test=f"{SIM}.ViolationDetection.test_child_queries_that_are_not_cancelled_are_detected",
        faults="`clients_leave`",
    ),
    Requirement(
        rule="RECOVER",
        source="RULES",
        text="a quarter of the requests is served RecoveryS after the machines are back",
        code=f"{CORE}/store/recovery.py:rebuild",
        test=f"{SIM}.Scenarios.test_a_core_disk_is_lost_and_every_machine_loses_power_at_the_end",
        planted_test="tests.test_rules.Planted.test_every_planted_violation_is_caught_by_its_rule",
        faults="`closing_dark`, `closing_early`, `losses_overlap`",
    ),
    Requirement(
        rule="Full disk",
        source="NEWS-18, NEWS-22, NEWS-23",
        text="a full disk rejects all writes: the process stays up and resumes when there is space",
        code=f"{CORE}/app.py:Core._run_replicas",
        test="tests.test_beyond_tolerance.FullDisks.test_all_disks_full",
        planted_test="tests.test_store.StoreTest.test_full_disk_is_a_typed_error_and_harms_nothing_written",
        faults="`disk_full`",
    ),
    Requirement(
        rule="Names on disk",
        source="NEWS-18",
        text="a file created, renamed or removed without a sync of its folder may be kept or lost",
        code=f"{CORE}/store/folder.py:DataFolder",
        test="tests.test_store_power_loss",
        planted_test="tests.test_store_planted_faults",
        faults="`power_loss`, `closing_power`",
    ),
    Requirement(
        rule="Prices",
        source="NEWS-18, NEWS-22",
        text="under load the requests of the lowest rank are shed first",
        code=f"{EDGE}/retries/load_shedding.py:is_admitted",
        test="tests.test_forward.LoadSheddingTest.test_the_lowest_rank_is_shed_first",
        mutation=Mutation(target="tests.test_forward:is_admitted", replacement=_admit_as_rank_zero),
        faults="`burst`",
    ),
)
