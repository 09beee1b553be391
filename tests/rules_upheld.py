"""Each line of the users' rules: what upholds it, the test that holds it, and what takes it out.

`docs/notes/rules.md` is made from this table (`python -m tests.test_rules_page`), and
`tests/test_rules_page.py` sees for each row that the code is there and that its test fails
once the line is taken out.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Callable


@dataclass(frozen=True, kw_only=True)
class TakenOut:
    """The line of code that upholds a rule, replaced: `target` is `module:attribute.path`."""

    target: str
    by: Any


@dataclass(frozen=True, kw_only=True)
class Upheld:
    """One line of the rules.

    `test` holds it. Where `taken_out` is set, the very test fails under it; otherwise
    `planted` is a test of its own that plants the fault and sees it found. `days` bring the
    line about: scenarios of the platform's model, or the bench's kinds of trouble.
    """

    rule: str
    source: str
    says: str
    code: str
    test: str
    days: str
    taken_out: TakenOut | None = None
    planted: str = ""


def always(value: Any) -> Callable[..., Any]:
    """A function that gives the same whatever it is asked."""
    return lambda *_, **__: value


def _sealed_failure(original: Callable[..., Any]) -> Callable[..., Any]:
    def reply(**fields: Any) -> Any:
        given = original(**fields)
        given.headers["Kelp-Seal"] = "a.1"
        return given

    return reply


def _reset_completes(original: Callable[..., Any]) -> Callable[..., Any]:
    def lost(connection: Any, error: OSError | None) -> None:
        connection.eof()
        original(connection, error)

    return lost


def _without_expectation(original: Callable[..., Any]) -> Callable[..., Any]:
    def call(codec: Any, *, ask: Any) -> Any:
        made = original(codec, ask=ask)
        del made.headers[codec.names.expect_instance]
        return made

    return call


def _without_deadline(original: Callable[..., Any]) -> Callable[..., Any]:
    def call(codec: Any, *, ask: Any) -> Any:
        made = original(codec, ask=ask)
        made.headers[codec.names.deadline_ms] = "60000"
        return made

    return call


def _without_end(original: Callable[..., Any]) -> Callable[..., Any]:
    def bind(*, record: Any, context: Any) -> bool:
        is_bound = original(record=record, context=context)
        record.due_us += 3_600_000_000
        return bool(is_bound)

    return bind


def _as_rank_zero(*, in_flight: int, rank: int) -> bool:
    return in_flight < 512


@dataclass(frozen=True, kw_only=True)
class Wrapped:
    """A replacement that is made from what it replaces."""

    make: Callable[[Callable[..., Any]], Callable[..., Any]]


EDGE, CORE, HTTP = "kelpstage/edge", "kelpstage/core", "kelpstage/common/http"
ONCE = "tests.test_at_most_once.AtMostOnce"
SIM = "tests.test_platform_sim"
CUTS = "tests.test_core_cuts"
MAY_HAVE_RUN = f"{ONCE}.test_what_may_have_run_is_never_sent_again"
GOES_BACK = f"{ONCE}.test_an_answer_that_is_the_backends_goes_back_as_it_came"
SEALED = "kelpstage.edge.forward.sealed_answer"

ROWS: tuple[Upheld, ...] = (
    Upheld(
        rule="MIXED",
        source="RULES",
        says="a success bears its backend's seal",
        code=f"{EDGE}/forward/sealed_answer.py:SealedCodec.read_whole",
        test=MAY_HAVE_RUN,
        taken_out=TakenOut(target=f"{SEALED}:is_seal", by=always(True)),
        days="`garble`",
    ),
    Upheld(
        rule="MIXED",
        source="RULES",
        says="an answer belongs to the request that it names",
        code=f"{EDGE}/forward/sealed_answer.py:SealedCodec._owner_of",
        test=GOES_BACK,
        taken_out=TakenOut(target=f"{SEALED}:SealedCodec._owner_of", by=always(1)),
        days="`garble`",
    ),
    Upheld(
        rule="MIXED",
        source="NEWS-18",
        says="a failure of our own bears no seal",
        code=f"{EDGE}/web/forward.py:failure_reply",
        test=MAY_HAVE_RUN,
        taken_out=TakenOut(
            target="kelpstage.edge.web.forward:failure_reply", by=Wrapped(make=_sealed_failure)
        ),
        days="`srv_grey`",
    ),
    Upheld(
        rule="MIXED",
        source="NEWS-22",
        says="an answer without a length is whole at an end in order, not at a reset",
        code=f"{HTTP}/reply_parser.py:ReplyParser.end",
        test="tests.test_http.Replies.test_a_reply_without_a_length_that_is_reset_is_lost",
        taken_out=TakenOut(
            target="kelpstage.common.http.client_connection:ClientConnection.lost",
            by=Wrapped(make=_reset_completes),
        ),
        days="`srv_reset`",
    ),
    Upheld(
        rule="MIXED",
        source="RULES",
        says="a gathered answer names its parts, counts the missing ones, and has the quorum",
        code=f"{EDGE}/gather/stages/settle.py:_settle_root",
        test=f"{SIM}.Scenarios.test_backends_crash_drain_and_send_faulty_replies",
        planted="tests.test_rules.Planted.test_every_planted_violation_is_caught_by_its_rule",
        days="`many_dark`, `shard_down`",
    ),
    Upheld(
        rule="UNASKED",
        source="RULES",
        says="a backend runs what the client sent, once for each id, nothing smuggled",
        code=f"{EDGE}/forward/request.py:read_request",
        test="tests.test_connection_walks.ServerWalks.test_walks",
        planted="tests.test_rules.Planted.test_every_planted_violation_is_caught_by_its_rule",
        days="all",
    ),
    Upheld(
        rule="UNASKED",
        source="NEWS-22",
        says="after an early answer to a body that is still on its way the connection ends",
        code=f"{HTTP}/client_connection.py:ClientConnection._take_replies",
        test="tests.test_http.Fetching.test_an_early_answer_to_a_half_sent_request_ends_the_line",
        taken_out=TakenOut(
            target="kelpstage.common.http.connection:Connection.unsent", by=always(0)
        ),
        days="bench: long bodies",
    ),
    Upheld(
        rule="TWICE",
        source="RULES",
        says="what may run once is not sent again once a byte may have left",
        code=f"{EDGE}/gather/stages/merge.py:surely_not_run",
        test=MAY_HAVE_RUN,
        taken_out=TakenOut(
            target="kelpstage.edge.gather.stages.merge:surely_not_run", by=always(True)
        ),
        days="`srv_desk`, `srv_reset`",
    ),
    Upheld(
        rule="REFUSED",
        source="RULES",
        says="503 only for what has not run and never will",
        code=f"{EDGE}/gather/request_state.py:RequestState.may_have_run",
        test=MAY_HAVE_RUN,
        taken_out=TakenOut(
            target="kelpstage.edge.gather.request_state:RequestState.may_have_run",
            by=always(False),
        ),
        days="`srv_desk`, `garble`",
    ),
    Upheld(
        rule="DENIED",
        source="NEWS-22",
        says="who knows no configuration, or has no right to serve, answers 503",
        code=f"{EDGE}/lease/lease_holder.py:LeaseHolder.refusal",
        test="tests.test_rules_upheld.WithoutConfiguration.test_it_answers_503_and_when_to_come_back",
        taken_out=TakenOut(
            target="kelpstage.edge.lease.lease_holder:LeaseHolder.refusal", by=always("")
        ),
        days="`herd_kill`, `closing_dark`",
    ),
    Upheld(
        rule="ROUTE",
        source="RULES",
        says="a send names the instance that it is for, so that no other one runs it",
        code=f"{EDGE}/forward/sealed_answer.py:SealedCodec.call",
        test="tests.test_rules_upheld.Handed.test_the_instance_is_named",
        taken_out=TakenOut(
            target=f"{SEALED}:SealedCodec.call", by=Wrapped(make=_without_expectation)
        ),
        days="`srv_crash` with addresses used again",
    ),
    Upheld(
        rule="DRAIN",
        source="RULES, NEWS-18",
        says="nothing goes to an instance that the list shows as draining or gone",
        code=f"{EDGE}/backend/eligibility.py:Eligibility.refusal_of_instance",
        test="tests.test_backends.BackendRegistryTest.test_drains_are_for_ever",
        taken_out=TakenOut(
            target="kelpstage.edge.backend.registry:BackendRegistry.refusal_of_instance",
            by=always(""),
        ),
        days="`srv_drain`, `reshard`",
    ),
    Upheld(
        rule="DRAIN",
        source="NEWS-22",
        says="a machine that is told to stop says at once that it is not ready",
        code=f"{EDGE}/app.py:Edge.refusal",
        test="tests.test_rules_upheld.Stopping.test_it_is_not_ready_and_serves_what_it_has",
        taken_out=TakenOut(target="kelpstage.edge.app:Edge.refusal", by=always("")),
        days="`roll_term`",
    ),
    Upheld(
        rule="LOST",
        source="RULES",
        says="what was read before a stop is answered, on kept connections too",
        code=f"{HTTP}/server.py:HttpServer.close",
        test="tests.test_rules_upheld.KeptConnections.test_a_request_in_work_is_answered",
        taken_out=TakenOut(
            target="kelpstage.common.http.server_connection:ServerConnection.is_idle",
            by=always(True),
        ),
        days="`roll_term`",
    ),
    Upheld(
        rule="LOST",
        source="RULES",
        says="what was acknowledged outlives any closing fault",
        code=f"{CORE}/store/task.py:DiskTask.run",
        test="tests.test_beyond_tolerance.OverlappingLosses"
        ".test_what_was_acknowledged_is_there_when_all_are_back",
        planted="tests.test_store_planted_faults",
        days="`closing_power`, `closing_kill`, `closing_wipe`, `closing_dark`, `closing_early`",
    ),
    Upheld(
        rule="CONFIG",
        source="RULES",
        says="no machine serves an older configuration than one that was acknowledged",
        code=f"{EDGE}/lease/lease_holder.py:LeaseHolder.has_lease",
        test="tests.test_leases.SlowClock.test_the_margin_is_enough_for_eight_percent",
        planted="tests.test_leases.PlantedFaults.test_an_edge_that_serves_past_its_lease",
        days="`config_changes`, `core_cut`, `node_freeze`",
    ),
    Upheld(
        rule="CONFIG",
        source="RULES",
        says="no machine goes back to an older configuration",
        code=f"{EDGE}/lease/lease_holder.py:LeaseHolder.install",
        test="tests.test_rules_upheld.Upward.test_an_older_state_is_not_installed",
        taken_out=TakenOut(
            target="kelpstage.edge.lease.lease_holder:LeaseHolder.install", by=always(True)
        ),
        days="`config_changes`",
    ),
    Upheld(
        rule="CONFIG",
        source="RULES",
        says="one order at most is taken on each version; what is invalid or lost its race is not",
        code=f"{CORE}/state/machine.py:Machine.apply",
        test="tests.test_orders.TwoMembers.test_two_under_one_number_in_every_order_of_arrival",
        planted="tests.test_orders.Days.test_records_that_a_restart_forgets_are_noticed",
        days="`config_race`, `one_number`, `config_invalid`",
    ),
    Upheld(
        rule="CONFIG",
        source="NEWS-18",
        says="an order that was taken is acknowledged again, never refused",
        code=f"{CORE}/leases/configuration_writes.py:ConfigurationWrites._look_up",
        test="tests.test_orders.AppliedRequests"
        ".test_a_superseded_order_is_acknowledged_again_after_thousands_of_changes",
        planted="tests.test_orders.Days.test_orders_that_are_not_looked_up_are_noticed",
        days="`ack_lost`, `order_repeated`",
    ),
    Upheld(
        rule="CONFIG",
        source="NEWS-23",
        says="any machine answers a read with the newest, or 503",
        code=f"{CORE}/web/operators.py:_confirm_read",
        test=f"{CUTS}.Freezes.test_a_core_wakes_with_calls_open",
        planted=f"{CUTS}.PlantedFaults.test_reads_without_the_read_index",
        days="`core_halves`, `core_cut`, `race_in_cut`",
    ),
    Upheld(
        rule="CONFIG",
        source="NEWS-23",
        says="reads are right whatever clocks say, and in halves",
        code=f"{CORE}/raft/reads.py:on_read_index",
        test="tests.test_beyond_tolerance.Halves"
        ".test_nothing_older_is_shown_and_nothing_refused_for_good",
        planted="tests.test_beyond_tolerance.Clocks.test_a_planted_read_from_memory_is_seen",
        days="`core_halves`",
    ),
    Upheld(
        rule="CONFIG",
        source="NEWS-22",
        says="a request has its final answer at its route's deadline",
        code=f"{EDGE}/gather/stages/admit.py:_bind_forward",
        test="tests.test_rules_upheld.Handed.test_the_routes_deadline_ends_it",
        taken_out=TakenOut(
            target="kelpstage.edge.gather.stages.admit:_bind_forward",
            by=Wrapped(make=_without_end),
        ),
        days="`srv_dark`, `many_slow`",
    ),
    Upheld(
        rule="CONFIG",
        source="NEWS-23",
        says="the parts of a weighted route get their shares",
        code=f"{EDGE}/gather/stages/admit.py:draw",
        test="tests.test_rules_upheld.Shares.test_each_part_gets_its_share",
        taken_out=TakenOut(target="kelpstage.edge.gather.stages.admit:draw", by=always("a")),
        days="`config_change` (splits)",
    ),
    Upheld(
        rule="BUDGET",
        source="RULES",
        says="retries stay within the ratio and the slack, over all machines",
        code=f"{EDGE}/retries/budget.py:Budget.take",
        test="tests.test_backends.StatedBudgetTest"
        ".test_a_new_instance_has_no_slack_until_a_window_has_passed",
        taken_out=TakenOut(
            target="kelpstage.edge.retries.budget:Budget._room_under_ratio", by=always(9)
        ),
        days="`many_slow`, `retry_abuse`",
    ),
    Upheld(
        rule="BUDGET",
        source="NEWS-18, NEWS-22",
        says="no try goes to more backends of a shard than its route's tries",
        code=f"{EDGE}/gather/request_state.py:RequestState.has_attempt",
        test="tests.test_attempts.Tries.test_never_more_than_tries_over_all_nodes",
        taken_out=TakenOut(
            target="kelpstage.edge.gather.request_state:RequestState.has_attempt", by=always(True)
        ),
        days="`many_dark`, `node_kill`",
    ),
    Upheld(
        rule="BUDGET",
        source="NEWS-22",
        says="a backend is handed no more time than is left",
        code=f"{EDGE}/forward/sealed_answer.py:SealedCodec.call",
        test="tests.test_rules_upheld.Handed.test_no_more_time_than_is_left",
        taken_out=TakenOut(target=f"{SEALED}:SealedCodec.call", by=Wrapped(make=_without_deadline)),
        days="`srv_slow`",
    ),
    Upheld(
        rule="GONE",
        source="NEWS-18, NEWS-22, NEWS-23",
        says="nothing is sent, and no backend kept at work, for a client that has left",
        code=f"{EDGE}/gather/request_state.py:RequestState.is_over_for_caller",
        test="tests.test_cancellation.Repeatable.test_a_caller_that_leaves_takes_its_attempts_along",
        planted=f"{SIM}.ViolationDetection.test_requests_that_outlive_their_client_are_detected",
        days="`clients_leave`",
    ),
    Upheld(
        rule="GONE",
        source="NEWS-18, NEWS-22, NEWS-23",
        says="the nodes below are told, and drop their parts",
        code=f"{EDGE}/gather/child_queries.py:ChildQueries.cancel",
        test="tests.test_cancellation.Tree.test_children_that_still_work_are_told",
        planted=f"{SIM}.ViolationDetection.test_child_queries_that_are_not_cancelled_are_detected",
        days="`clients_leave`",
    ),
    Upheld(
        rule="RECOVER",
        source="RULES",
        says="a quarter is served RecoveryS after the machines are back",
        code=f"{CORE}/store/recovery.py:rebuild",
        test=f"{SIM}.Scenarios.test_a_core_disk_is_lost_and_every_machine_loses_power_at_the_end",
        planted="tests.test_rules.Planted.test_every_planted_violation_is_caught_by_its_rule",
        days="`closing_dark`, `closing_early`, `losses_overlap`",
    ),
    Upheld(
        rule="Full disk",
        source="NEWS-18, NEWS-22, NEWS-23",
        says="a full disk refuses every write: the process stays up and goes on when there is room",
        code=f"{CORE}/app.py:Core._run_replicas",
        test="tests.test_beyond_tolerance.FullDisks.test_all",
        planted="tests.test_store.StoreTest.test_full_disk_is_a_typed_error_and_harms_nothing_written",
        days="`disk_full`",
    ),
    Upheld(
        rule="Names on disk",
        source="NEWS-18",
        says="each file made, renamed or removed without a sync of its folder may be kept or lost",
        code=f"{CORE}/store/folder.py:DataFolder",
        test="tests.test_store_power_loss",
        planted="tests.test_store_planted_faults",
        days="`power_loss`, `closing_power`",
    ),
    Upheld(
        rule="Prices",
        source="NEWS-18, NEWS-22",
        says="under load the least urgent is turned away first",
        code=f"{EDGE}/retries/load_shedding.py:may_enter",
        test="tests.test_forward.ShedTest.test_the_lowest_rank_goes_first",
        taken_out=TakenOut(target="tests.test_forward:may_enter", by=_as_rank_zero),
        days="`burst`",
    ),
)
