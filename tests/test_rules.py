"""The checker of each platform rule finds planted violations of its rule and passes clean and
excused histories."""

from __future__ import annotations

import copy
import dataclasses
import unittest
from typing import Callable

from kelpstage.testbed.checkers.linearizable import Answer, Attempt
from kelpstage.testbed.platform_model.history import (
    Arrival,
    Cut,
    History,
    Leaver,
    MachineFault,
    Order,
    ReadBack,
    Readiness,
    Request,
    RolloutOrder,
    RouteSpec,
    Shown,
    Stamped,
)
from kelpstage.testbed.platform_model.rules.answers import best_records
from kelpstage.testbed.platform_model.rules.register import RULES, find_violations

S = 1_000_000  # a second in microseconds
HOST = "h.example"
SHARDS = ("s1", "s2", "s3")
NODES = ("n1", "n2", "n3", "n4")


def routes(*, shards: tuple = SHARDS, single: str = "b", extra: tuple = ()) -> tuple:
    return (
        RouteSpec(name="all", host=HOST, prefix="/all/", fan_out=shards, limit=2, quorum=0.5),
        RouteSpec(name="one", host=HOST, prefix="/one/", services=frozenset((single,))),
        RouteSpec(
            name="pay", host=HOST, prefix="/pay/", services=frozenset(("p",)), is_repeatable=False
        ),
        *extra,
    )


def order(revision: int, base: int, at_us: int, **more) -> Order:
    fields = {
        "key": f"o{revision}",
        "revision": revision,
        "base": base,
        "sent_us": at_us,
        "body": f"body-{revision}".encode(),
        "routes": routes(),
        "acked_us": at_us + 9_000,
        "ended_us": at_us + 9_000,
    }
    return Order(**{**fields, **more})


def add(
    history: History, *, attempt: str, target: str, sent_us: int, node: str = "n1", **more
) -> Request:
    """Add a correctly answered request and its arrivals at backends."""
    request = Request(
        attempt=attempt,
        node=node,
        host=HOST,
        target=target,
        sent_us=sent_us,
        whole_us=sent_us,
        read_us=sent_us + 1_000,
        done_us=sent_us + 50_000,
        end="answered",
        status=200,
        reply_attempt=attempt,
        **more,
    )
    history.requests.append(request)
    services = (
        SHARDS if target.startswith("/all/") else ("b",) if target.startswith("/one/") else ("p",)
    )
    bodies = []
    for service in services:
        body = b"".join(bytes([65 + (len(attempt) + n) % 20]) * 16 for n in range(3))
        seal = f"{attempt}.{service}"
        history.arrivals.append(
            Arrival(
                attempt=attempt,
                service=service,
                instance_id=f"i-{service}",
                node=node,
                at_us=sent_us + 10_000,
                host=HOST,
                target=target,
                begun_us=sent_us + 10_000,
                ended_us=sent_us + 30_000,
                until_us=sent_us + 30_000,
                given_us=900_000,
            )
        )
        history.stamped[seal] = Stamped(
            seal=seal,
            attempt=attempt,
            service=service,
            instance_id=f"i-{service}",
            status=200,
            body=body,
        )
        bodies.append(body)
        request.seal = seal
    if len(services) > 1:
        request.part_seals = tuple(f"{attempt}.{service}" for service in services)
        request.seal, request.reply_body = "", best_records(bodies=bodies, limit=2)
    else:
        request.reply_body = bodies[0]
    return request


def clean_history() -> History:
    """Return the history of 100 s with four machines, three of them core, and two writes."""
    history = History(
        machines=frozenset(NODES), core=frozenset(NODES[:3]), traffic_us=10 * S, end_us=100 * S
    )
    history.orders = [order(3, 0, S), order(5, 3, 40 * S)]
    for number in range(300):
        target = ("/all/x", "/one/x?q=1", "/pay/x")[number % 3]
        add(
            history,
            attempt=f"q{number}",
            target=target,
            sent_us=10 * S + number * 250_000,
            node=NODES[number % 4],
            is_repeatable=number % 3 != 2,
        )
    history.read_backs = [ReadBack(at_us=99 * S, revision=5, body=b"body-5", is_last=True)]
    return history


def request_of(history: History, target: str, *, after_us: int = 60 * S) -> Request:
    return next(r for r in history.requests if r.target.startswith(target) and r.sent_us > after_us)


def arrivals_of(history: History, request: Request) -> list[Arrival]:
    return [a for a in history.arrivals if a.attempt == request.attempt]


PLANTED: list[tuple[str, str, Callable[[History], None]]] = []


def violates(rule: str) -> Callable:
    def register(plant: Callable[[History], None]) -> Callable[[History], None]:
        PLANTED.append((rule, plant.__name__, plant))
        return plant

    return register


# --- MIXED ------------------------------------------------------------------------------


@violates("MIXED")
def a_success_without_a_seal(history):
    request_of(history, "/one/").seal = ""


@violates("MIXED")
def a_body_with_extra_bytes(history):
    request_of(history, "/one/").reply_body += b"x"


@violates("MIXED")
def a_truncated_body(history):
    request = request_of(history, "/one/")
    request.reply_body = request.reply_body[:-1]


@violates("MIXED")
def a_backend_failure_relayed_as_a_success(history):
    seal = request_of(history, "/one/").seal
    history.stamped[seal] = Stamped(**{**fields_of(history.stamped[seal]), "status": 500})


@violates("MIXED")
def a_backend_failure_relayed_with_another_status(history):
    request = request_of(history, "/one/")
    seal = request.seal
    history.stamped[seal] = Stamped(**{**fields_of(history.stamped[seal]), "status": 500})
    request.status = 502


@violates("MIXED")
def a_backend_success_relayed_as_a_failure(history):
    request_of(history, "/one/").status = 503


@violates("MIXED")
def the_answer_of_another_request(history):
    first, second = request_of(history, "/one/"), request_of(history, "/one/", after_us=70 * S)
    first.seal, first.reply_body = second.seal, second.reply_body


@violates("MIXED")
def a_failure_of_another_request(history):
    request = request_of(history, "/one/")
    request.status, request.reply_attempt = 500, "q1"


@violates("MIXED")
def a_success_without_an_outstanding_request(history):
    history.requests.append(Request(attempt="q0", is_stray=True, done_us=50 * S))


@violates("MIXED")
def bytes_that_are_not_a_valid_answer(history):
    request = request_of(history, "/one/")
    request.end, request.is_garbled = "cut", True


@violates("MIXED")
def a_part_with_an_unknown_seal(history):
    request_of(history, "/all/").part_seals += ("nonsense",)


@violates("MIXED")
def a_part_of_another_request(history):
    request = request_of(history, "/all/")
    request.part_seals = (*request.part_seals[:2], "q0.s3")


@violates("MIXED")
def a_duplicate_part(history):
    request = request_of(history, "/all/")
    request.part_seals = (*request.part_seals[:2], request.part_seals[0])


@violates("MIXED")
def a_failed_part(history):
    seal = request_of(history, "/all/").part_seals[0]
    history.stamped[seal] = Stamped(**{**fields_of(history.stamped[seal]), "status": 504})


@violates("MIXED")
def a_missing_shard_that_is_not_reported(history):
    request = request_of(history, "/all/")
    request.part_seals = request.part_seals[:2]


@violates("MIXED")
def fewer_parts_than_the_quorum(history):
    request = request_of(history, "/all/")
    request.part_seals, request.missing = request.part_seals[:1], 2
    request.reply_body = best_records(bodies=[history.stamped[request.part_seals[0]].body], limit=2)


@violates("MIXED")
def parts_of_two_configurations(history):
    history.orders.append(order(7, 5, 45 * S, routes=routes(shards=("s3", "t1", "t2"))))
    history.read_backs[0] = ReadBack(at_us=99 * S, revision=7, body=b"body-7", is_last=True)
    request = request_of(history, "/all/", after_us=46 * S)
    seal = request.part_seals[0]
    history.stamped[seal] = Stamped(**{**fields_of(history.stamped[seal]), "service": "t1"})


@violates("MIXED")
def not_the_best_records(history):
    request = request_of(history, "/all/")
    request.reply_body = request.reply_body[16:] + request.reply_body[:16]
    if len(set(request.reply_body)) == 1:
        request.reply_body = b"!" * 32


# --- runs -------------------------------------------------------------------------------------


@violates("UNASKED")
def a_run_of_a_request_that_no_client_sent(history):
    history.arrivals.append(
        Arrival(attempt="zz", service="b", instance_id="i-b", node="n1", at_us=50 * S)
    )


@violates("UNASKED")
def a_run_with_another_query(history):
    arrivals_of(history, request_of(history, "/one/"))[0].target = "/one/x"


@violates("UNASKED")
def a_run_with_another_body(history):
    arrivals_of(history, request_of(history, "/one/"))[0].body = b"x"


@violates("UNASKED")
def a_run_with_another_method(history):
    arrivals_of(history, request_of(history, "/one/"))[0].method = "POST"


@violates("TWICE")
def a_non_repeatable_request_that_runs_twice(history):
    arrival = copy.copy(arrivals_of(history, request_of(history, "/pay/"))[0])
    arrival.at_us += 10_000
    history.arrivals.append(arrival)


@violates("REFUSED")
def a_refused_request_that_ran(history):
    request_of(history, "/pay/").status = 503


@violates("REFUSED")
def a_refused_request_that_runs_later(history):
    request = request_of(history, "/pay/")
    request.status = 429
    arrivals_of(history, request)[0].at_us = request.done_us + S


def answer_with_status(history, *, status: int, count: int) -> list[Request]:
    chosen = [r for r in history.requests if r.target.startswith("/one/") and r.sent_us > 50 * S][
        :count
    ]
    for request in chosen:
        request.status, request.seal = status, ""
        history.arrivals[:] = [a for a in history.arrivals if a.attempt != request.attempt]
    return chosen


@violates("DENIED")
def too_many_denied_requests(history):
    answer_with_status(history, status=400, count=7)


@violates("DENIED")
def too_many_redirected_requests(history):
    answer_with_status(history, status=302, count=7)


@violates("ROUTE")
def a_run_at_a_service_that_no_configuration_names(history):
    arrivals_of(history, request_of(history, "/one/"))[0].service = "p"


# --- draining ----------------------------------------------------------------------------------


@violates("DRAIN")
def a_request_long_after_a_drain_is_known(history):
    at_us = request_of(history, "/one/").sent_us - 3_500_000
    history.shown.append(Shown(instance_id="i-b", node="n3", at_us=at_us))
    history.arrivals[:] = [
        a for a in history.arrivals if a.instance_id != "i-b" or a.at_us < at_us + 4 * S
    ]


@violates("DRAIN")
def a_request_long_after_a_drain_was_listed_in_an_unsettled_core(history):
    """The time also runs while the core is not settled."""
    request = request_of(history, "/one/", after_us=70 * S)
    history.leavers.append(Leaver(instance_id="i-b", listed_us=request.sent_us - 8 * S))
    history.faults.append(
        MachineFault(
            machine="n2",
            what="freeze",
            begin_us=request.sent_us - 7 * S,
            end_us=request.sent_us - 5 * S,
        )
    )
    arrival = arrivals_of(history, request)[0]
    listed_us = request.sent_us - 8 * S
    history.arrivals[:] = [
        a for a in history.arrivals if a is arrival or a.instance_id != "i-b" or a.at_us < listed_us
    ]


def stop_machine(history, *, node: str, begin_us: int) -> None:
    history.faults.append(
        MachineFault(
            machine=node, what="stop", begin_us=begin_us, end_us=begin_us + 7 * S, is_planned=True
        )
    )


def close_without_answer(history, request: Request, *, after_us: int = 400_000) -> None:
    request.end, request.status, request.done_us = "closed", 0, request.sent_us + after_us


@violates("LOST")
def a_request_dropped_by_a_stop(history):
    request = request_of(history, "/one/")
    stop_machine(history, node=request.node, begin_us=request.sent_us - 100_000)
    close_without_answer(history, request)


@violates("LOST")
def a_read_request_dropped_by_a_stop_before_it_was_forwarded(history):
    request = request_of(history, "/one/")
    stop_machine(history, node=request.node, begin_us=request.sent_us - 100_000)
    history.arrivals[:] = [a for a in history.arrivals if a.attempt != request.attempt]
    close_without_answer(history, request)


@violates("LOST")
def a_request_dropped_by_a_settings_reload(history):
    request = request_of(history, "/one/")
    history.faults.append(
        MachineFault(
            machine=request.node,
            what="reread",
            begin_us=request.sent_us + 1_000,
            end_us=request.sent_us + 1_000,
            is_planned=True,
        )
    )
    close_without_answer(history, request)


@violates("LOST")
def a_request_dropped_near_a_write(history):
    close_without_answer(history, request_of(history, "/one/", after_us=41 * S))


@violates("LOST")
def a_machine_that_drops_far_more_often_near_a_write(history):
    """One request in five is dropped near the write, and one in sixty at other times."""
    mine = [r for r in history.requests if r.node == "n1" and r.target.startswith("/one/")]
    for request in [r for r in mine if 40 * S < r.sent_us < 44 * S][:1]:
        close_without_answer(history, request)
    for request in [r for r in mine if r.sent_us > 60 * S][:1]:
        close_without_answer(history, request)


# --- configuration ----------------------------------------------------------------------------


def move_single(history, *, at_us: int = 40 * S) -> None:
    """Let the second version route /one/ to `c` instead of `b`."""
    history.orders[1] = order(5, 3, at_us, routes=routes(single="c"))
    for arrival in history.arrivals:
        if arrival.service == "b" and arrival.at_us > at_us + 1_000_000:
            arrival.service, arrival.instance_id = "c", "i-c"


@violates("CONFIG late")
def a_run_at_the_old_service_long_after_a_move(history):
    move_single(history)
    arrivals_of(history, request_of(history, "/one/"))[0].service = "b"


@violates("CONFIG late")
def a_removed_route_that_is_still_served(history):
    history.orders[1].routes = tuple(r for r in history.orders[1].routes if r.name != "pay")


@violates("CONFIG late")
def an_added_route_that_gets_404(history):
    added = RouteSpec(name="new", host=HOST, prefix="/new/", services=frozenset(("b",)))
    history.orders[1].routes += (added,)
    add(history, attempt="late", target="/one/z", sent_us=50 * S)
    request = history.requests[-1]
    request.target, request.status = "/new/z", 404
    history.arrivals[:] = [a for a in history.arrivals if a.attempt != "late"]


@violates("CONFIG late")
def a_late_run_after_the_extended_limit_of_an_unsettled_core(history):
    move_single(history)
    for second in range(40, 100, 3):
        history.faults.append(
            MachineFault(machine="n2", what="kill", begin_us=second * S, end_us=second * S + S)
        )
    request = next(
        r
        for r in history.requests
        if r.target.startswith("/one/") and r.sent_us > 70 * S and r.node == "n4"
    )
    arrivals_of(history, request)[0].service = "b"


@violates("CONFIG narrow")
def later_routes_served_too_rarely(history):
    added = tuple(
        RouteSpec(name=f"new{n}", host=HOST, prefix=f"/new/{n}/", services=frozenset(("b",)))
        for n in range(20)
    )
    history.orders[1].routes += added
    for number in range(40):
        history.requests.append(
            Request(
                attempt=f"new{number}",
                node="n1",
                host=HOST,
                target=f"/new/{number % 20}/x",
                sent_us=60 * S + number,
                done_us=61 * S,
                end="answered",
                status=502,
                is_late_route=True,
            )
        )


@violates("CONFIG slid back")
def a_run_at_the_old_service_after_one_at_the_new(history):
    move_single(history)
    mine = [
        r
        for r in history.requests
        if r.target.startswith("/one/") and r.node == "n2" and r.sent_us > 40 * S
    ]
    arrivals_of(history, mine[2])[0].service = "b"


@violates("CONFIG slid back")
def a_route_that_gets_404_after_it_was_served(history):
    added = RouteSpec(name="new", host=HOST, prefix="/new/", services=frozenset(("b",)))
    history.orders[1].routes += (added,)
    for number in range(2):
        request = add(history, attempt=f"new{number}", target="/one/z", sent_us=(41 + number) * S)
        request.target = "/new/z"
        for arrival in arrivals_of(history, request):
            arrival.target = "/new/z"
    request.status = 404
    history.arrivals[:] = [a for a in history.arrivals if a.attempt != "new1"]


@violates("CONFIG undead")
def a_refused_write_in_force(history):
    move_single(history)
    history.orders[1].acked_us, history.orders[1].refused_us = 0, 41 * S
    history.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)


@violates("CONFIG undead")
def an_invalid_write_acknowledged(history):
    history.orders.append(order(9, 5, 60 * S, is_valid=False))


@violates("CONFIG undead")
def an_invalid_write_in_force(history):
    move_single(history)
    history.orders[1].acked_us, history.orders[1].is_valid = 0, False
    history.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)


@violates("CONFIG undead")
def two_writes_on_one_base(history):
    history.orders.append(order(6, 3, 41 * S))
    history.read_backs[0] = ReadBack(at_us=99 * S, revision=6, body=b"body-6", is_last=True)


@violates("CONFIG undead")
def two_writes_with_one_version(history):
    history.orders.append(order(5, 4, 41 * S, key="another 5"))


def attempts_of(*rows: tuple[int, Answer]) -> list[Attempt]:
    return [Attempt(sent_us=at_us, done_us=at_us + 9_000, answer=answer) for at_us, answer in rows]


@violates("CONFIG repeat")
def an_acknowledged_write_refused_on_its_repeat(history):
    history.orders[1].tries = attempts_of((40 * S, Answer.ACKNOWLEDGED), (50 * S, Answer.CONFLICT))


@violates("CONFIG repeat")
def a_superseded_write_refused_on_its_repeat(history):
    history.orders[0].tries = attempts_of((S, Answer.ACKNOWLEDGED), (60 * S, Answer.CONFLICT))


@violates("CONFIG repeat")
def an_acknowledged_write_found_invalid_on_its_repeat(history):
    history.orders[1].tries = attempts_of((40 * S, Answer.ACKNOWLEDGED), (50 * S, Answer.INVALID))


@violates("CONFIG order")
def a_read_of_an_older_version_between_writes(history):
    history.reads.append(ReadBack(sent_us=60 * S, at_us=60 * S + 9, revision=3, body=b"body-3"))


@violates("CONFIG order")
def an_unanswered_write_that_is_read_and_then_refused(history):
    open_order = order(9, 5, 60 * S, acked_us=0, ended_us=64 * S)
    open_order.tries = attempts_of((60 * S, Answer.UNCLEAR), (63 * S, Answer.CONFLICT))
    history.orders.append(open_order)
    history.reads.append(ReadBack(sent_us=61 * S, at_us=61 * S + 9, revision=9, body=b"body-9"))


@violates("CONFIG order")
def a_refused_write_whose_base_is_current(history):
    history.orders.append(order(9, 5, 60 * S, acked_us=0, refused_us=61 * S, ended_us=61 * S))


@violates("CONFIG order")
def reads_that_return_an_older_version_after_a_newer_one(history):
    for at_us, revision in ((39 * S, 3), (40 * S + 2_000, 5), (40 * S + 5_000, 3)):
        body = f"body-{revision}".encode()
        history.reads.append(ReadBack(sent_us=at_us, at_us=at_us + 9, revision=revision, body=body))


@violates("CONFIG lost")
def an_older_version_read_back(history):
    history.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)


@violates("CONFIG lost")
def other_bytes_read_back(history):
    history.read_backs[0] = ReadBack(at_us=99 * S, revision=5, body=b"body-5 ", is_last=True)


@violates("CONFIG lost")
def nothing_read_back(history):
    history.read_backs = []


@violates("LOST")
def an_acknowledged_write_lost_by_the_closing_fault(history):
    history.closing_us, history.back_us = 95 * S, 96 * S
    history.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)


# --- retries, deadlines, recovery ----------------------------------------------------------------


@violates("BUDGET")
def too_many_extra_arrivals(history):
    for arrival in [a for a in history.arrivals if a.service == "b" and a.at_us > 60 * S]:
        for number in range(9):
            again = copy.copy(arrival)
            again.at_us += 1_000 + number
            again.ran, again.status = False, 503
            history.arrivals.append(again)


def run_at_other_backends(history, request: Request, *, times: int) -> None:
    """Let the request also run at other backends of its service."""
    first = arrivals_of(history, request)[0]
    for number in range(times):
        again = copy.copy(first)
        again.instance_id += f"-{number}"
        history.arrivals.append(again)


def run_on_too_many_backends(history, *, count: int) -> list[Request]:
    chosen = [r for r in history.requests if r.target.startswith("/one/")][:count]
    for request in chosen:
        run_at_other_backends(history, request, times=2)
    return chosen


@violates("BUDGET")
def four_requests_on_three_backends_in_one_try(history):
    run_on_too_many_backends(history, count=4)


@violates("BUDGET")
def parts_of_four_requests_on_three_backends_each(history):
    for request in [r for r in history.requests if r.target.startswith("/all/")][:4]:
        run_at_other_backends(history, request, times=2)


def disconnect(history, *, count: int) -> list[Request]:
    """Let clients of repeatable requests disconnect 0.1 s after sending, while their requests
    would run for two seconds."""
    chosen = [r for r in history.requests if r.target.startswith("/one/") and r.sent_us > 50 * S]
    for request in chosen[:count]:
        request.end, request.status = "left", 0
        request.done_us = request.sent_us + 100_000
        for arrival in arrivals_of(history, request):
            arrival.until_us = arrival.begun_us + 2 * S
    return chosen[:count]


@violates("GONE")
def backends_that_work_for_disconnected_clients(history):
    disconnect(history, count=6)


@violates("GONE")
def sends_for_disconnected_clients(history):
    for request in disconnect(history, count=4):
        [arrival] = arrivals_of(history, request)
        arrival.at_us, arrival.until_us = request.done_us + S, 0


@violates("CONFIG read")
def a_read_of_an_older_version(history):
    history.reads = [ReadBack(sent_us=80 * S, at_us=81 * S, revision=3, body=b"body-3")]


@violates("CONFIG read")
def an_older_read_from_a_machine_out_of_touch(history):
    history.faults = [MachineFault(machine="n1", what="freeze", begin_us=50 * S, end_us=79 * S)]
    history.reads = [ReadBack(sent_us=80 * S, at_us=81 * S, revision=3, body=b"body-3")]


@violates("CONFIG held")
def requests_that_exceed_their_route_deadline(history):
    chosen = [r for r in history.requests if r.target.startswith("/one/") and r.sent_us > 50 * S]
    for request in chosen[:9]:
        request.done_us = request.sent_us + 1_600_000


@violates("BUDGET time")
def a_later_deadline_than_the_clients(history):
    for arrival in history.arrivals[::2]:
        arrival.given_us = 2 * S


@violates("BUDGET time")
def no_deadline(history):
    for arrival in history.arrivals[::2]:
        arrival.given_us = 0


@violates("DENIED far")
def a_machine_without_a_configuration_that_answers_404(history):
    history.faults = [MachineFault(machine="n4", what="kill", begin_us=49 * S, end_us=99 * S)]
    chosen = [r for r in history.requests if r.node == "n4" and r.sent_us > 50 * S][:11]
    for request in chosen:
        request.status, request.seal, request.part_seals = 404, "", ()
        history.arrivals[:] = [a for a in history.arrivals if a.attempt != request.attempt]


@violates("LOST kept")
def kept_connections_closed_after_the_request_was_forwarded(history):
    chosen = [r for r in history.requests if r.target.startswith("/one/") and r.sent_us > 50 * S]
    for request in chosen[:4]:
        request.is_kept, request.end, request.status, request.seal = True, "closed", 0, ""


@violates("DRAIN ready")
def machines_that_stay_ready_after_sigterm(history):
    for name in ("n1", "n2"):
        history.faults.append(
            MachineFault(machine=name, what="stop", begin_us=60 * S, end_us=66 * S, is_planned=True)
        )
        history.readiness += [
            Readiness(machine=name, at_us=at_s * S, is_ready=True) for at_s in range(50, 66)
        ]


@violates("RECOVER")
def nothing_served_after_the_closing_fault(history):
    history.closing_us, history.back_us = 60 * S, 61 * S
    for request in history.requests:
        if request.sent_us > 60 * S:
            request.end, request.status = "answered", 503


@violates("ACKS")
def a_write_without_an_answer(history):
    history.orders.append(order(9, 5, 60 * S, acked_us=0, ended_us=0))


@violates("ACKS")
def draining_backends_that_no_machine_learned_of(history):
    history.leavers = [Leaver(instance_id=f"x{n}", listed_us=50 * S) for n in range(3)]


@violates("FAULT")
def a_process_that_ends_by_itself(history):
    history.own_ends = [(50 * S, "edge/n1", "ValueError")]


@violates("FAULT")
def nothing_served_at_all(history):
    for request in history.requests:
        request.end, request.status = "answered", 503


def fields_of(stamp: Stamped) -> dict:
    return {name: getattr(stamp, name) for name in Stamped.__dataclass_fields__}


# --- rollouts ---------------------------------------------------------------------------


def rollout(**more) -> RolloutOrder:
    """Return an acknowledged rollout of service b, sent at 50 s with a term of 14 s."""
    fields = {
        "key": "rollout-2",
        "service": "b",
        "target": "v2",
        "over_us": 14 * S,
        "sent_us": 50 * S,
        "acked_us": 51 * S,
        "complete_us": 60 * S,
        "read_back": "v2",
    }
    return RolloutOrder(**{**fields, **more})


def bad_rollout(**more) -> RolloutOrder:
    return rollout(**{"is_bad": True, "complete_us": 0, "reverted_us": 60 * S, **more})


def add_arrivals_at_target(history: History, *, count: int, since_us: int, until_us: int) -> None:
    """Add requests that the target version received and answered badly, evenly spaced."""
    for number in range(count):
        at_us = since_us + (until_us - since_us) * number // count
        add(history, attempt=f"r{number}", target="/one/x", sent_us=at_us)
        arrival = history.arrivals[-1]
        arrival.revision, arrival.is_bad_answer = "v2", True


@violates("EXPOSURE")
def a_bad_version_receives_most_requests(history):
    history.rollouts = [bad_rollout()]
    add_arrivals_at_target(history, count=80, since_us=51 * S, until_us=55 * S)


@violates("EXPOSURE")
def a_bad_version_receives_requests_after_the_time_to_roll_back(history):
    history.rollouts = [bad_rollout()]
    add_arrivals_at_target(history, count=60, since_us=51 * S, until_us=63 * S)


@violates("LOST rollout")
def an_acknowledged_rollout_is_not_known_at_the_end(history):
    history.rollouts = [rollout(read_back=None)]


@violates("LOST rollout")
def the_last_read_names_an_older_target(history):
    history.rollouts = [rollout(read_back="v1")]


@violates("LOST rollout")
def a_complete_rollout_is_read_as_rolling_later(history):
    history.rollouts = [rollout(conditions=["rolling", "complete", "rolling"])]


@violates("LOST version")
def a_request_is_at_an_old_backend_when_the_rollout_is_complete(history):
    history.stopped_requests = [(60 * S, "q9")]


@violates("ACKS rollout")
def a_rollout_is_refused(history):
    history.rollouts = [rollout(acked_us=0, refused_us=51 * S, complete_us=0)]


@violates("DUTY rollout")
def a_good_version_is_reverted(history):
    history.rollouts = [rollout(complete_us=0, reverted_us=60 * S)]


@violates("DUTY rollout")
def a_bad_version_is_complete(history):
    history.rollouts = [rollout(is_bad=True)]


@violates("LOST rollout")
def an_acknowledged_order_is_read_as_an_earlier_one(history):
    history.rollouts = [rollout(other_targets=["v1"])]


@violates("ENDS rollout")
def a_rollout_is_still_rolling_long_after_its_term(history):
    history.end_us = 120 * S
    history.rollouts = [rollout(complete_us=0, condition="rolling", has_fewer_instances=True)]


@violates("SERVED rollout")
def a_service_gets_no_requests_while_its_rollout_is_under_way(history):
    history.rollouts = [rollout(is_alone=True)]
    for number in range(40):
        add(history, attempt=f"q{number}", target="/one/x", sent_us=46 * S + number * S // 10)


class Planted(unittest.TestCase):
    def test_a_clean_history_breaks_no_rule(self):
        self.assertEqual(find_violations(history=clean_history()), [])

    def test_every_planted_violation_is_caught_by_its_rule(self):
        for rule, name, plant in PLANTED:
            with self.subTest(f"{rule}: {name}"):
                history = clean_history()
                plant(history)
                self.assertIn(
                    rule, {violation.rule for violation in find_violations(history=history)}
                )

    def test_every_rule_has_a_planted_violation(self):
        planted = {rule for rule, _, _ in PLANTED}
        self.assertEqual(planted, set(RULES))

    def test_a_history_without_requests_is_a_violation(self):
        self.assertTrue(find_violations(history=History()))


class ExcusedHistories(unittest.TestCase):
    """Histories that a rule permits are not reported."""

    def violated_rules(self, history: History) -> set[str]:
        return {violation.rule for violation in find_violations(history=history)}

    def test_good_and_bad_rollouts_that_end_in_time_are_allowed(self):
        history = clean_history()
        history.rollouts = [rollout(), bad_rollout(key="rollout-3", service="p")]
        self.assertEqual([], find_violations(history=history))

    def test_the_same_bad_version_ordered_again_is_counted_from_its_own_order(self):
        history = clean_history()
        history.rollouts = [
            bad_rollout(sent_us=20 * S, acked_us=20 * S, reverted_us=25 * S),
            bad_rollout(key="rollout-3"),
        ]
        add_arrivals_at_target(history, count=45, since_us=21 * S, until_us=25 * S)
        add_arrivals_at_target(history, count=45, since_us=51 * S, until_us=55 * S)
        self.assertNotIn("EXPOSURE", self.violated_rules(history))

    def test_a_rollout_that_ends_late_for_lost_instances_is_allowed(self):
        history = clean_history()
        lost = {"complete_us": 0, "reverted_us": 80 * S, "has_fewer_instances": True}
        history.rollouts = [rollout(**lost)]
        self.assertEqual([], find_violations(history=history))

    def test_a_bad_version_may_receive_a_tenth_of_the_requests_and_fifty(self):
        history = clean_history()
        history.rollouts = [bad_rollout()]
        add_arrivals_at_target(history, count=49, since_us=51 * S, until_us=63 * S)
        self.assertEqual([], find_violations(history=history))

    def test_abandoned_work_that_ends_within_half_a_second_is_allowed(self):
        history = clean_history()
        for request in disconnect(history, count=6):
            for arrival in arrivals_of(history, request):
                arrival.released_us = request.done_us + 400_000
        self.assertEqual(self.violated_rules(history), set())
        history = clean_history()
        for request in disconnect(history, count=6):
            for arrival in arrivals_of(history, request):
                arrival.until_us = request.done_us + 400_000
        self.assertEqual(self.violated_rules(history), set())

    def test_non_repeatable_requests_may_keep_running(self):
        history = clean_history()
        for request in disconnect(history, count=6):
            request.is_repeatable = False
        self.assertEqual(self.violated_rules(history), set())

    def test_a_read_within_the_apply_time_may_be_older(self):
        history = clean_history()
        history.reads = [ReadBack(sent_us=42 * S, at_us=43 * S, revision=3, body=b"body-3")]
        self.assertNotIn("CONFIG read", self.violated_rules(history))

    def test_seven_overdue_requests_are_allowed(self):
        history = clean_history()
        chosen = [r for r in history.requests if r.target.startswith("/one/")]
        for request in chosen[-7:]:
            request.done_us = request.sent_us + 1_600_000
        self.assertEqual(self.violated_rules(history), set())

    def test_one_of_two_stopping_machines_may_stay_ready(self):
        history = clean_history()
        for name, until_s in (("n1", 66), ("n2", 61)):
            history.faults.append(
                MachineFault(
                    machine=name, what="stop", begin_us=60 * S, end_us=66 * S, is_planned=True
                )
            )
            history.readiness += [
                Readiness(machine=name, at_us=at_s * S, is_ready=at_s < until_s)
                for at_s in range(50, 66)
            ]
        self.assertNotIn("DRAIN ready", self.violated_rules(history))

    def test_repeatable_requests_may_run_more_than_once(self):
        history = clean_history()
        history.arrivals.append(copy.copy(arrivals_of(history, request_of(history, "/one/"))[0]))
        self.assertEqual(self.violated_rules(history), set())

    def test_five_and_one_in_500_may_be_denied(self):
        history = clean_history()
        answer_with_status(history, status=400, count=5)
        self.assertEqual(self.violated_rules(history), set())

    def test_a_denial_is_allowed_while_a_possible_version_has_no_route(self):
        history = clean_history()
        dropped = tuple(r for r in history.orders[1].routes if r.name != "one")
        history.orders[1] = order(5, 3, 40 * S, routes=dropped, acked_us=0, ended_us=41 * S)
        history.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)
        for request in history.requests:
            if request.target.startswith("/one/") and request.sent_us > 45 * S:
                request.status = 404
                history.arrivals[:] = [a for a in history.arrivals if a.attempt != request.attempt]
        self.assertNotIn("DENIED", self.violated_rules(history))

    def test_a_machine_out_of_touch_may_be_late(self):
        history = clean_history()
        move_single(history)
        request = request_of(history, "/one/")
        arrivals_of(history, request)[0].service = "b"
        history.faults.append(
            MachineFault(
                machine=request.node,
                what="freeze",
                begin_us=request.sent_us - 2 * S,
                end_us=request.sent_us - S,
            )
        )
        self.assertNotIn("CONFIG late", self.violated_rules(history))

    def test_a_machine_partitioned_from_the_core_may_be_late(self):
        history = clean_history()
        move_single(history)
        request = next(
            r
            for r in history.requests
            if r.target.startswith("/one/") and r.node == "n4" and r.sent_us > 60 * S
        )
        arrivals_of(history, request)[0].service = "b"
        self.assertIn("CONFIG late", self.violated_rules(history))
        history.cuts.append(
            Cut(a="n4", b="n1", begin_us=request.sent_us - S, end_us=request.sent_us)
        )
        self.assertNotIn("CONFIG late", self.violated_rules(history))

    def test_an_unsettled_core_extends_the_apply_time(self):
        history = clean_history()
        move_single(history)
        request = next(
            r
            for r in history.requests
            if r.target.startswith("/one/") and r.node == "n4" and 45 * S < r.sent_us < 50 * S
        )
        arrivals_of(history, request)[0].service = "b"
        history.faults.append(
            MachineFault(
                machine="n2",
                what="kill",
                begin_us=request.sent_us - 2 * S,
                end_us=request.sent_us - S,
            )
        )
        self.assertNotIn("CONFIG late", self.violated_rules(history))

    def test_a_new_incarnation_may_start_with_an_older_version(self):
        history = clean_history()
        move_single(history)
        mine = [
            r
            for r in history.requests
            if r.target.startswith("/one/") and r.node == "n2" and r.sent_us > 40 * S
        ]
        arrivals_of(history, mine[2])[0].service = "b"
        for request in history.requests:
            if request.node == "n2" and request.sent_us >= mine[2].sent_us:
                request.node_incarnation = 1
        self.assertNotIn("CONFIG slid back", self.violated_rules(history))

    def test_one_of_two_writes_on_one_base_may_be_acknowledged(self):
        history = clean_history()
        history.orders.append(order(6, 3, 41 * S, acked_us=0, refused_us=42 * S))
        self.assertEqual(self.violated_rules(history), set())

    def test_a_write_without_a_clear_answer_may_be_in_force(self):
        history = clean_history()
        move_single(history)
        history.orders[1].acked_us = 0
        self.assertNotIn("CONFIG undead", self.violated_rules(history))

    def test_a_partition_to_the_backend_excuses_a_late_request(self):
        history = clean_history()
        a_request_long_after_a_drain_is_known(history)
        for node in NODES:
            history.cuts.append(Cut(a=node, b="i-b", begin_us=50 * S, end_us=90 * S))
        self.assertNotIn("DRAIN", self.violated_rules(history))

    def test_outages_of_the_list_do_not_count_as_drain_time(self):
        history = clean_history()
        a_request_long_after_a_drain_is_known(history)
        history.outages.append((50 * S, 90 * S))
        self.assertNotIn("DRAIN", self.violated_rules(history))

    def test_drops_caused_by_the_backend_are_not_lost_requests(self):
        for change in (
            lambda a: setattr(a, "broke_off", True),
            lambda a: setattr(a, "ended_us", 0),
        ):
            history = clean_history()
            a_request_dropped_by_a_stop(history)
            change(arrivals_of(history, request_of(history, "/one/"))[0])
            self.assertNotIn("LOST", self.violated_rules(history))

    def test_a_request_that_was_not_read_is_not_lost(self):
        history = clean_history()
        a_request_dropped_by_a_stop(history)
        request_of(history, "/one/").read_us = 0
        self.assertNotIn("LOST", self.violated_rules(history))

    def test_an_unplanned_fault_excuses_a_drop(self):
        history = clean_history()
        a_request_dropped_by_a_stop(history)
        at_us = request_of(history, "/one/").sent_us
        history.faults.append(
            MachineFault(machine="n4", what="kill", begin_us=at_us, end_us=at_us + S)
        )
        self.assertNotIn("LOST", self.violated_rules(history))

    def test_extra_arrivals_within_the_slack_are_allowed(self):
        history = clean_history()
        for arrival in [a for a in history.arrivals if a.service == "b"]:
            history.arrivals.append(copy.copy(arrival))
        self.assertNotIn("BUDGET", self.violated_rules(history))

    def test_three_requests_may_run_on_more_backends_than_their_tries(self):
        history = clean_history()
        run_on_too_many_backends(history, count=3)
        self.assertNotIn("BUDGET", self.violated_rules(history))

    def test_a_backend_that_crashed_does_not_count_as_a_try(self):
        history = clean_history()
        for request in run_on_too_many_backends(history, count=4):
            first = arrivals_of(history, request)[0]
            first.instance_id += f" of {request.attempt}"
            history.crashes[first.instance_id] = first.at_us + 1_000
        self.assertNotIn("BUDGET", self.violated_rules(history))

    def test_a_gathered_request_has_its_tries_in_each_shard(self):
        history = clean_history()
        for request in [r for r in history.requests if r.target.startswith("/all/")][:9]:
            run_at_other_backends(history, request, times=1)
        self.assertNotIn("BUDGET", self.violated_rules(history))

    def test_a_backend_failure_relayed_unchanged_is_allowed(self):
        history = clean_history()
        request = request_of(history, "/one/")
        seal = request.seal
        history.stamped[seal] = Stamped(**{**fields_of(history.stamped[seal]), "status": 500})
        request.status = 500
        self.assertEqual(self.violated_rules(history), set())

    def test_the_drain_limit_applies_only_to_machines_in_touch(self):
        history = clean_history()
        a_request_long_after_a_drain_was_listed_in_an_unsettled_core(history)
        self.assertIn("DRAIN", self.violated_rules(history))
        history.faults[-1].end_us += 2 * S  # the request arrives before `TouchMs` has passed
        self.assertNotIn("DRAIN", self.violated_rules(history))

    def test_a_drop_late_in_the_deadline_is_not_attributed_to_a_write(self):
        history = clean_history()
        close_without_answer(
            history, request_of(history, "/one/", after_us=41 * S), after_us=700_000
        )
        self.assertNotIn("LOST", self.violated_rules(history))

    def test_a_request_that_reached_its_route_deadline_is_not_lost(self):
        history = clean_history()
        a_request_dropped_by_a_stop(history)
        quick = tuple(dataclasses.replace(r, deadline_us=400_000) for r in routes())
        history.orders[1].routes = quick
        self.assertNotIn("LOST", self.violated_rules(history))

    def test_a_closing_fault_of_most_of_the_core_takes_twice_as_long_to_settle(self):
        for fallen, expected in ((2, set()), (1, {"CONFIG late"})):
            history = clean_history()
            move_single(history, at_us=56 * S)
            history.closing_us, history.back_us = 60 * S, 61 * S
            for node in NODES[:fallen]:
                history.faults.append(
                    MachineFault(machine=node, what="power", begin_us=60 * S, end_us=61 * S)
                )
            request = next(
                r
                for r in history.requests
                if r.target.startswith("/one/") and r.node == "n4" and r.sent_us > 66 * S
            )
            self.assertLess(request.sent_us, 69 * S - 10_000)
            arrivals_of(history, request)[0].service = "b"
            self.assertEqual(self.violated_rules(history) & {"CONFIG late"}, expected)

    def test_a_write_whose_answers_are_lost_may_stay_unacknowledged(self):
        history = clean_history()
        history.orders.append(order(9, 5, 60 * S, acked_us=0, ended_us=70 * S))
        self.assertIn("ACKS", self.violated_rules(history))
        history.orders[-1].lost_us = [62 * S, 66 * S]
        self.assertNotIn("ACKS", self.violated_rules(history))

    def test_a_repeat_may_be_acknowledged_or_left_unclear(self):
        history = clean_history()
        history.orders[0].tries = attempts_of(
            (S, Answer.ACKNOWLEDGED), (50 * S, Answer.UNCLEAR), (60 * S, Answer.ACKNOWLEDGED)
        )
        self.assertEqual(self.violated_rules(history), set())

    def test_a_write_in_an_unsettled_core_may_stay_unacknowledged(self):
        history = clean_history()
        history.orders.append(order(9, 5, 60 * S, acked_us=0, ended_us=70 * S))
        history.faults.append(
            MachineFault(machine="n2", what="kill", begin_us=59 * S, end_us=66 * S)
        )
        self.assertNotIn("ACKS", self.violated_rules(history))


if __name__ == "__main__":
    unittest.main()
