"""Each rule's checker catches a planted violation and passes a clean day, judged from
what clients, backends, the operator and the platform saw."""

from __future__ import annotations

import copy
import dataclasses
import unittest
from typing import Callable

from kelpstage.testbed.checkers.linearizable import Answer, Try
from kelpstage.testbed.platform_model.history import (
    Arrival,
    Cut,
    Day,
    Leaver,
    Order,
    ReadBack,
    Request,
    RouteSpec,
    Shown,
    Stamped,
    Trouble,
)
from kelpstage.testbed.platform_model.rules.answers import best_records
from kelpstage.testbed.platform_model.rules.register import RULES, judge

S = 1_000_000
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


def add(day: Day, *, attempt: str, target: str, sent_us: int, node: str = "n1", **more) -> Request:
    """A request that is answered as it should be, and what backends saw of it."""
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
    day.requests.append(request)
    services = (
        SHARDS if target.startswith("/all/") else ("b",) if target.startswith("/one/") else ("p",)
    )
    bodies = []
    for service in services:
        body = b"".join(bytes([65 + (len(attempt) + n) % 20]) * 16 for n in range(3))
        seal = f"{attempt}.{service}"
        day.arrivals.append(
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
            )
        )
        day.stamped[seal] = Stamped(
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


def clean_day() -> Day:
    """Four machines, three of them the core; a minute and a half; one change."""
    day = Day(
        machines=frozenset(NODES), core=frozenset(NODES[:3]), traffic_us=10 * S, end_us=100 * S
    )
    day.orders = [order(3, 0, S), order(5, 3, 40 * S)]
    for number in range(300):
        target = ("/all/x", "/one/x?q=1", "/pay/x")[number % 3]
        add(
            day,
            attempt=f"q{number}",
            target=target,
            sent_us=10 * S + number * 250_000,
            node=NODES[number % 4],
            is_repeatable=number % 3 != 2,
        )
    day.read_backs = [ReadBack(at_us=99 * S, revision=5, body=b"body-5", is_last=True)]
    return day


def request_of(day: Day, target: str, *, after_us: int = 60 * S) -> Request:
    return next(r for r in day.requests if r.target.startswith(target) and r.sent_us > after_us)


def arrivals_of(day: Day, request: Request) -> list[Arrival]:
    return [a for a in day.arrivals if a.attempt == request.attempt]


PLANTED: list[tuple[str, str, Callable[[Day], None]]] = []


def plants(rule: str) -> Callable:
    def keep(plant: Callable[[Day], None]) -> Callable[[Day], None]:
        PLANTED.append((rule, plant.__name__, plant))
        return plant

    return keep


# --- MIXED ------------------------------------------------------------------------------


@plants("MIXED")
def a_success_without_a_seal(day):
    request_of(day, "/one/").seal = ""


@plants("MIXED")
def another_body(day):
    request_of(day, "/one/").reply_body += b"x"


@plants("MIXED")
def a_cut_body_that_looks_whole(day):
    request = request_of(day, "/one/")
    request.reply_body = request.reply_body[:-1]


@plants("MIXED")
def a_success_for_a_backends_failure(day):
    seal = request_of(day, "/one/").seal
    day.stamped[seal] = Stamped(**{**vars_of(day.stamped[seal]), "status": 500})


@plants("MIXED")
def a_backends_failure_under_another_status(day):
    request = request_of(day, "/one/")
    seal = request.seal
    day.stamped[seal] = Stamped(**{**vars_of(day.stamped[seal]), "status": 500})
    request.status = 502


@plants("MIXED")
def a_backends_success_turned_into_a_failure(day):
    request_of(day, "/one/").status = 503


@plants("MIXED")
def the_answer_of_another_request(day):
    first, second = request_of(day, "/one/"), request_of(day, "/one/", after_us=70 * S)
    first.seal, first.reply_body = second.seal, second.reply_body


@plants("MIXED")
def a_failure_that_belongs_to_another_request(day):
    request = request_of(day, "/one/")
    request.status, request.reply_attempt = 500, "q1"


@plants("MIXED")
def a_success_that_nobody_waits_for(day):
    day.requests.append(Request(attempt="q0", is_stray=True, done_us=50 * S))


@plants("MIXED")
def bytes_that_are_no_answer(day):
    request = request_of(day, "/one/")
    request.end, request.is_garbled = "cut", True


@plants("MIXED")
def a_part_that_is_no_seal(day):
    request_of(day, "/all/").part_seals += ("nonsense",)


@plants("MIXED")
def a_part_of_another_try(day):
    request = request_of(day, "/all/")
    request.part_seals = (*request.part_seals[:2], "q0.s3")


@plants("MIXED")
def a_part_twice(day):
    request = request_of(day, "/all/")
    request.part_seals = (*request.part_seals[:2], request.part_seals[0])


@plants("MIXED")
def a_failure_as_a_part(day):
    seal = request_of(day, "/all/").part_seals[0]
    day.stamped[seal] = Stamped(**{**vars_of(day.stamped[seal]), "status": 504})


@plants("MIXED")
def a_shard_missing_in_silence(day):
    request = request_of(day, "/all/")
    request.part_seals = request.part_seals[:2]


@plants("MIXED")
def less_than_the_quorum(day):
    request = request_of(day, "/all/")
    request.part_seals, request.missing = request.part_seals[:1], 2
    request.reply_body = best_records(bodies=[day.stamped[request.part_seals[0]].body], limit=2)


@plants("MIXED")
def parts_of_two_configurations(day):
    day.orders.append(order(7, 5, 45 * S, routes=routes(shards=("s3", "t1", "t2"))))
    day.read_backs[0] = ReadBack(at_us=99 * S, revision=7, body=b"body-7", is_last=True)
    request = request_of(day, "/all/", after_us=46 * S)
    seal = request.part_seals[0]
    day.stamped[seal] = Stamped(**{**vars_of(day.stamped[seal]), "service": "t1"})


@plants("MIXED")
def not_the_best_records(day):
    request = request_of(day, "/all/")
    request.reply_body = request.reply_body[16:] + request.reply_body[:16]
    if len(set(request.reply_body)) == 1:
        request.reply_body = b"!" * 32


# --- runs -------------------------------------------------------------------------------------


@plants("UNASKED")
def a_run_that_nobody_asked_for(day):
    day.arrivals.append(
        Arrival(attempt="zz", service="b", instance_id="i-b", node="n1", at_us=50 * S)
    )


@plants("UNASKED")
def a_run_with_another_query(day):
    arrivals_of(day, request_of(day, "/one/"))[0].target = "/one/x"


@plants("UNASKED")
def a_run_with_another_body(day):
    arrivals_of(day, request_of(day, "/one/"))[0].body = b"x"


@plants("UNASKED")
def a_run_with_another_method(day):
    arrivals_of(day, request_of(day, "/one/"))[0].method = "POST"


@plants("TWICE")
def an_order_that_runs_twice(day):
    arrival = copy.copy(arrivals_of(day, request_of(day, "/pay/"))[0])
    arrival.at_us += 10_000
    day.arrivals.append(arrival)


@plants("REFUSED")
def a_promise_and_a_run(day):
    request_of(day, "/pay/").status = 503


@plants("REFUSED")
def a_promise_and_a_run_that_comes_later(day):
    request = request_of(day, "/pay/")
    request.status = 429
    arrivals_of(day, request)[0].at_us = request.done_us + S


def deny(day, *, status: int, count: int) -> list[Request]:
    chosen = [r for r in day.requests if r.target.startswith("/one/") and r.sent_us > 50 * S][
        :count
    ]
    for request in chosen:
        request.status, request.seal = status, ""
        day.arrivals[:] = [a for a in day.arrivals if a.attempt != request.attempt]
    return chosen


@plants("DENIED")
def many_denied(day):
    deny(day, status=400, count=7)


@plants("DENIED")
def many_sent_elsewhere(day):
    deny(day, status=302, count=7)


@plants("ROUTE")
def a_run_at_a_service_that_no_configuration_names(day):
    arrivals_of(day, request_of(day, "/one/"))[0].service = "p"


# --- leaving ----------------------------------------------------------------------------------


@plants("DRAIN")
def a_request_long_after_a_drain_is_known(day):
    at_us = request_of(day, "/one/").sent_us - 3_500_000
    day.shown.append(Shown(instance_id="i-b", node="n3", at_us=at_us))
    day.arrivals[:] = [a for a in day.arrivals if a.instance_id != "i-b" or a.at_us < at_us + 4 * S]


@plants("DRAIN")
def a_request_long_after_a_drain_that_the_list_showed_in_an_unsettled_core(day):
    """The time runs while the core isn't settled."""
    request = request_of(day, "/one/", after_us=70 * S)
    day.leavers.append(Leaver(instance_id="i-b", listed_us=request.sent_us - 8 * S))
    day.troubles.append(
        Trouble(
            machine="n2",
            what="freeze",
            begin_us=request.sent_us - 7 * S,
            end_us=request.sent_us - 5 * S,
        )
    )
    arrival = arrivals_of(day, request)[0]
    listed_us = request.sent_us - 8 * S
    day.arrivals[:] = [
        a for a in day.arrivals if a is arrival or a.instance_id != "i-b" or a.at_us < listed_us
    ]


def stop(day, *, node: str, begin_us: int) -> None:
    day.troubles.append(
        Trouble(
            machine=node, what="stop", begin_us=begin_us, end_us=begin_us + 7 * S, is_planned=True
        )
    )


def drop(day, request: Request, *, after_us: int = 400_000) -> None:
    request.end, request.status, request.done_us = "closed", 0, request.sent_us + after_us


@plants("LOST")
def a_request_dropped_by_a_stop(day):
    request = request_of(day, "/one/")
    stop(day, node=request.node, begin_us=request.sent_us - 100_000)
    drop(day, request)


@plants("LOST")
def a_read_request_dropped_unsent_by_a_stop(day):
    request = request_of(day, "/one/")
    stop(day, node=request.node, begin_us=request.sent_us - 100_000)
    day.arrivals[:] = [a for a in day.arrivals if a.attempt != request.attempt]
    drop(day, request)


@plants("LOST")
def a_request_dropped_by_a_reread(day):
    request = request_of(day, "/one/")
    day.troubles.append(
        Trouble(
            machine=request.node,
            what="reread",
            begin_us=request.sent_us + 1_000,
            end_us=request.sent_us + 1_000,
            is_planned=True,
        )
    )
    drop(day, request)


@plants("LOST")
def requests_dropped_around_a_change(day):
    drop(day, request_of(day, "/one/", after_us=41 * S))


@plants("LOST")
def a_machine_that_cuts_far_more_often_beside_a_change(day):
    """One in five beside the change, one in sixty at other times."""
    mine = [r for r in day.requests if r.node == "n1" and r.target.startswith("/one/")]
    for request in [r for r in mine if 40 * S < r.sent_us < 44 * S][:1]:
        drop(day, request)
    for request in [r for r in mine if r.sent_us > 60 * S][:1]:
        drop(day, request)


# --- configuration ----------------------------------------------------------------------------


def move_single(day, *, at_us: int = 40 * S) -> None:
    """The second version moves /one/ from `b` to `c`."""
    day.orders[1] = order(5, 3, at_us, routes=routes(single="c"))
    for arrival in day.arrivals:
        if arrival.service == "b" and arrival.at_us > at_us + 1_000_000:
            arrival.service, arrival.instance_id = "c", "i-c"


@plants("CONFIG late")
def an_old_service_long_after_a_change(day):
    move_single(day)
    arrivals_of(day, request_of(day, "/one/"))[0].service = "b"


@plants("CONFIG late")
def a_dropped_route_still_served(day):
    day.orders[1].routes = tuple(r for r in day.orders[1].routes if r.name != "pay")


@plants("CONFIG late")
def an_added_route_refused(day):
    added = RouteSpec(name="new", host=HOST, prefix="/new/", services=frozenset(("b",)))
    day.orders[1].routes += (added,)
    add(day, attempt="late", target="/one/z", sent_us=50 * S)
    request = day.requests[-1]
    request.target, request.status = "/new/z", 404
    day.arrivals[:] = [a for a in day.arrivals if a.attempt != "late"]


@plants("CONFIG late")
def beyond_the_stretch_of_an_unsettled_core(day):
    move_single(day)
    for second in range(40, 100, 3):
        day.troubles.append(
            Trouble(machine="n2", what="kill", begin_us=second * S, end_us=second * S + S)
        )
    request = next(
        r
        for r in day.requests
        if r.target.startswith("/one/") and r.sent_us > 70 * S and r.node == "n4"
    )
    arrivals_of(day, request)[0].service = "b"


@plants("CONFIG narrow")
def later_routes_hardly_served(day):
    added = tuple(
        RouteSpec(name=f"new{n}", host=HOST, prefix=f"/new/{n}/", services=frozenset(("b",)))
        for n in range(20)
    )
    day.orders[1].routes += added
    for number in range(40):
        day.requests.append(
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


@plants("CONFIG slid back")
def an_old_service_after_a_new_one(day):
    move_single(day)
    mine = [
        r
        for r in day.requests
        if r.target.startswith("/one/") and r.node == "n2" and r.sent_us > 40 * S
    ]
    arrivals_of(day, mine[2])[0].service = "b"


@plants("CONFIG slid back")
def a_route_gone_again(day):
    added = RouteSpec(name="new", host=HOST, prefix="/new/", services=frozenset(("b",)))
    day.orders[1].routes += (added,)
    for number in range(2):
        request = add(day, attempt=f"new{number}", target="/one/z", sent_us=(41 + number) * S)
        request.target = "/new/z"
        for arrival in arrivals_of(day, request):
            arrival.target = "/new/z"
    request.status = 404
    day.arrivals[:] = [a for a in day.arrivals if a.attempt != "new1"]


@plants("CONFIG undead")
def a_refused_one_in_force(day):
    move_single(day)
    day.orders[1].acked_us, day.orders[1].refused_us = 0, 41 * S
    day.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)


@plants("CONFIG undead")
def an_invalid_one_acknowledged(day):
    day.orders.append(order(9, 5, 60 * S, is_valid=False))


@plants("CONFIG undead")
def an_invalid_one_in_force(day):
    move_single(day)
    day.orders[1].acked_us, day.orders[1].is_valid = 0, False
    day.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)


@plants("CONFIG undead")
def two_on_top_of_one(day):
    day.orders.append(order(6, 3, 41 * S))
    day.read_backs[0] = ReadBack(at_us=99 * S, revision=6, body=b"body-6", is_last=True)


@plants("CONFIG undead")
def two_under_one_number(day):
    day.orders.append(order(5, 4, 41 * S, key="another 5"))


def tried(*rows: tuple[int, Answer]) -> list[Try]:
    return [Try(sent_us=at_us, done_us=at_us + 9_000, answer=answer) for at_us, answer in rows]


@plants("CONFIG repeat")
def an_acknowledged_one_refused_on_its_repeat(day):
    day.orders[1].tries = tried((40 * S, Answer.ACKNOWLEDGED), (50 * S, Answer.CONFLICT))


@plants("CONFIG repeat")
def a_superseded_one_refused_on_its_repeat(day):
    day.orders[0].tries = tried((S, Answer.ACKNOWLEDGED), (60 * S, Answer.CONFLICT))


@plants("CONFIG repeat")
def an_acknowledged_one_called_invalid_on_its_repeat(day):
    day.orders[1].tries = tried((40 * S, Answer.ACKNOWLEDGED), (50 * S, Answer.INVALID))


@plants("CONFIG order")
def a_read_of_an_older_one_in_the_middle_of_the_day(day):
    day.reads.append(ReadBack(sent_us=60 * S, at_us=60 * S + 9, revision=3, body=b"body-3"))


@plants("CONFIG order")
def one_without_an_answer_that_is_read_then_refused(day):
    open_order = order(9, 5, 60 * S, acked_us=0, ended_us=64 * S)
    open_order.tries = tried((60 * S, Answer.UNCLEAR), (63 * S, Answer.CONFLICT))
    day.orders.append(open_order)
    day.reads.append(ReadBack(sent_us=61 * S, at_us=61 * S + 9, revision=9, body=b"body-9"))


@plants("CONFIG order")
def a_refusal_while_its_base_is_current(day):
    day.orders.append(order(9, 5, 60 * S, acked_us=0, refused_us=61 * S, ended_us=61 * S))


@plants("CONFIG order")
def a_read_that_goes_back(day):
    for at_us, revision in ((39 * S, 3), (40 * S + 2_000, 5), (40 * S + 5_000, 3)):
        body = f"body-{revision}".encode()
        day.reads.append(ReadBack(sent_us=at_us, at_us=at_us + 9, revision=revision, body=body))


@plants("CONFIG lost")
def an_older_one_read_back(day):
    day.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)


@plants("CONFIG lost")
def another_text_read_back(day):
    day.read_backs[0] = ReadBack(at_us=99 * S, revision=5, body=b"body-5 ", is_last=True)


@plants("CONFIG lost")
def nothing_read_back(day):
    day.read_backs = []


@plants("LOST")
def an_acknowledged_one_gone_after_the_closing_fault(day):
    day.closing_us, day.back_us = 95 * S, 96 * S
    day.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)


# --- tries, recovery, the gate ----------------------------------------------------------------


@plants("BUDGET")
def many_extra_arrivals(day):
    for arrival in [a for a in day.arrivals if a.service == "b" and a.at_us > 60 * S]:
        for number in range(9):
            again = copy.copy(arrival)
            again.at_us += 1_000 + number
            again.ran, again.status = False, 503
            day.arrivals.append(again)


def run_again(day, request: Request, *, times: int) -> None:
    """The request also ran at other backends of its service."""
    first = arrivals_of(day, request)[0]
    for number in range(times):
        again = copy.copy(first)
        again.instance_id += f"-{number}"
        day.arrivals.append(again)


def beyond_tries(day, *, count: int) -> list[Request]:
    chosen = [r for r in day.requests if r.target.startswith("/one/")][:count]
    for request in chosen:
        run_again(day, request, times=2)
    return chosen


@plants("BUDGET")
def four_requests_on_three_backends_in_one_try(day):
    beyond_tries(day, count=4)


@plants("BUDGET")
def parts_of_four_requests_on_three_backends_each(day):
    for request in [r for r in day.requests if r.target.startswith("/all/")][:4]:
        run_again(day, request, times=2)


@plants("RECOVER")
def nothing_served_after_the_closing_fault(day):
    day.closing_us, day.back_us = 60 * S, 61 * S
    for request in day.requests:
        if request.sent_us > 60 * S:
            request.end, request.status = "answered", 503


@plants("ACKS")
def an_order_without_an_answer(day):
    day.orders.append(order(9, 5, 60 * S, acked_us=0, ended_us=0))


@plants("ACKS")
def backends_whose_leaving_nobody_noted(day):
    day.leavers = [Leaver(instance_id=f"x{n}", listed_us=50 * S) for n in range(3)]


@plants("FAULT")
def a_process_that_ends_by_itself(day):
    day.own_ends = [(50 * S, "edge/n1", "ValueError")]


@plants("FAULT")
def nothing_served_at_all(day):
    for request in day.requests:
        request.end, request.status = "answered", 503


def vars_of(stamp: Stamped) -> dict:
    return {name: getattr(stamp, name) for name in Stamped.__dataclass_fields__}


class Planted(unittest.TestCase):
    def test_a_clean_day_breaks_no_rule(self):
        self.assertEqual(judge(day=clean_day()), [])

    def test_every_planted_violation_is_caught_by_its_rule(self):
        for rule, name, plant in PLANTED:
            with self.subTest(f"{rule}: {name}"):
                day = clean_day()
                plant(day)
                self.assertIn(rule, {violation.line for violation in judge(day=day)})

    def test_every_rule_has_a_planted_violation(self):
        planted = {rule for rule, _, _ in PLANTED}
        self.assertEqual(planted, set(RULES))

    def test_a_day_without_requests_proves_nothing(self):
        self.assertTrue(judge(day=Day()))


class Excused(unittest.TestCase):
    """What the rules let pass is let pass, and no more than that."""

    def lines(self, day: Day) -> set[str]:
        return {violation.line for violation in judge(day=day)}

    def test_repeatable_requests_may_run_more_than_once(self):
        day = clean_day()
        day.arrivals.append(copy.copy(arrivals_of(day, request_of(day, "/one/"))[0]))
        self.assertEqual(self.lines(day), set())

    def test_five_and_one_in_500_may_be_denied(self):
        day = clean_day()
        deny(day, status=400, count=5)
        self.assertEqual(self.lines(day), set())

    def test_a_refusal_of_what_only_one_possible_version_allows(self):
        day = clean_day()
        dropped = tuple(r for r in day.orders[1].routes if r.name != "one")
        day.orders[1] = order(5, 3, 40 * S, routes=dropped, acked_us=0, ended_us=41 * S)
        day.read_backs[0] = ReadBack(at_us=99 * S, revision=3, body=b"body-3", is_last=True)
        for request in day.requests:
            if request.target.startswith("/one/") and request.sent_us > 45 * S:
                request.status = 404
                day.arrivals[:] = [a for a in day.arrivals if a.attempt != request.attempt]
        self.assertNotIn("DENIED", self.lines(day))

    def test_a_machine_out_of_touch_may_be_late(self):
        day = clean_day()
        move_single(day)
        request = request_of(day, "/one/")
        arrivals_of(day, request)[0].service = "b"
        day.troubles.append(
            Trouble(
                machine=request.node,
                what="freeze",
                begin_us=request.sent_us - 2 * S,
                end_us=request.sent_us - S,
            )
        )
        self.assertNotIn("CONFIG late", self.lines(day))

    def test_a_machine_cut_from_the_core_may_be_late(self):
        day = clean_day()
        move_single(day)
        request = next(
            r
            for r in day.requests
            if r.target.startswith("/one/") and r.node == "n4" and r.sent_us > 60 * S
        )
        arrivals_of(day, request)[0].service = "b"
        self.assertIn("CONFIG late", self.lines(day))
        day.cuts.append(Cut(a="n4", b="n1", begin_us=request.sent_us - S, end_us=request.sent_us))
        self.assertNotIn("CONFIG late", self.lines(day))

    def test_an_unsettled_core_stretches_the_bound(self):
        day = clean_day()
        move_single(day)
        request = next(
            r
            for r in day.requests
            if r.target.startswith("/one/") and r.node == "n4" and 45 * S < r.sent_us < 50 * S
        )
        arrivals_of(day, request)[0].service = "b"
        day.troubles.append(
            Trouble(
                machine="n2",
                what="kill",
                begin_us=request.sent_us - 2 * S,
                end_us=request.sent_us - S,
            )
        )
        self.assertNotIn("CONFIG late", self.lines(day))

    def test_a_new_instance_may_begin_behind(self):
        day = clean_day()
        move_single(day)
        mine = [
            r
            for r in day.requests
            if r.target.startswith("/one/") and r.node == "n2" and r.sent_us > 40 * S
        ]
        arrivals_of(day, mine[2])[0].service = "b"
        for request in day.requests:
            if request.node == "n2" and request.sent_us >= mine[2].sent_us:
                request.node_incarnation = 1
        self.assertNotIn("CONFIG slid back", self.lines(day))

    def test_one_of_two_on_top_of_one_may_be_acknowledged(self):
        day = clean_day()
        day.orders.append(order(6, 3, 41 * S, acked_us=0, refused_us=42 * S))
        self.assertEqual(self.lines(day), set())

    def test_a_change_without_a_clear_answer_may_be_in_force(self):
        day = clean_day()
        move_single(day)
        day.orders[1].acked_us = 0
        self.assertNotIn("CONFIG undead", self.lines(day))

    def test_a_request_to_a_backend_that_is_cut_off_is_held_up(self):
        day = clean_day()
        a_request_long_after_a_drain_is_known(day)
        for node in NODES:
            day.cuts.append(Cut(a=node, b="i-b", begin_us=50 * S, end_us=90 * S))
        self.assertNotIn("DRAIN", self.lines(day))

    def test_the_list_is_down_and_the_drain_waits(self):
        day = clean_day()
        a_request_long_after_a_drain_is_known(day)
        day.outages.append((50 * S, 90 * S))
        self.assertNotIn("DRAIN", self.lines(day))

    def test_a_backend_that_broke_off_or_is_still_at_work_loses_the_request_itself(self):
        for change in (
            lambda a: setattr(a, "broke_off", True),
            lambda a: setattr(a, "ended_us", 0),
        ):
            day = clean_day()
            a_request_dropped_by_a_stop(day)
            change(arrivals_of(day, request_of(day, "/one/"))[0])
            self.assertNotIn("LOST", self.lines(day))

    def test_a_request_that_was_not_read_is_not_lost(self):
        day = clean_day()
        a_request_dropped_by_a_stop(day)
        request_of(day, "/one/").read_us = 0
        self.assertNotIn("LOST", self.lines(day))

    def test_unplanned_trouble_excuses_a_drop(self):
        day = clean_day()
        a_request_dropped_by_a_stop(day)
        at_us = request_of(day, "/one/").sent_us
        day.troubles.append(Trouble(machine="n4", what="kill", begin_us=at_us, end_us=at_us + S))
        self.assertNotIn("LOST", self.lines(day))

    def test_the_slack_of_the_budget(self):
        day = clean_day()
        for arrival in [a for a in day.arrivals if a.service == "b"]:
            day.arrivals.append(copy.copy(arrival))
        self.assertNotIn("BUDGET", self.lines(day))

    def test_three_requests_may_run_on_more_backends_than_their_tries(self):
        day = clean_day()
        beyond_tries(day, count=3)
        self.assertNotIn("BUDGET", self.lines(day))

    def test_a_backend_that_crashed_meanwhile_does_not_count(self):
        day = clean_day()
        for request in beyond_tries(day, count=4):
            first = arrivals_of(day, request)[0]
            first.instance_id += f" of {request.attempt}"
            day.crashes[first.instance_id] = first.at_us + 1_000
        self.assertNotIn("BUDGET", self.lines(day))

    def test_a_gathered_request_has_its_tries_in_each_shard(self):
        day = clean_day()
        for request in [r for r in day.requests if r.target.startswith("/all/")][:9]:
            run_again(day, request, times=1)
        self.assertNotIn("BUDGET", self.lines(day))

    def test_a_failure_passed_on_as_its_backend_gave_it(self):
        day = clean_day()
        request = request_of(day, "/one/")
        seal = request.seal
        day.stamped[seal] = Stamped(**{**vars_of(day.stamped[seal]), "status": 500})
        request.status = 500
        self.assertEqual(self.lines(day), set())

    def test_a_drain_binds_a_machine_only_once_it_is_in_touch(self):
        day = clean_day()
        a_request_long_after_a_drain_that_the_list_showed_in_an_unsettled_core(day)
        self.assertIn("DRAIN", self.lines(day))
        day.troubles[-1].end_us += 2 * S  # `TouchMs` is not over when the request comes
        self.assertNotIn("DRAIN", self.lines(day))

    def test_a_request_cut_late_in_its_time_counts_beside_no_change(self):
        day = clean_day()
        drop(day, request_of(day, "/one/", after_us=41 * S), after_us=700_000)
        self.assertNotIn("LOST", self.lines(day))

    def test_a_route_whose_time_out_was_reached_loses_nothing(self):
        day = clean_day()
        a_request_dropped_by_a_stop(day)
        quick = tuple(dataclasses.replace(r, deadline_us=400_000) for r in routes())
        day.orders[1].routes = quick
        self.assertNotIn("LOST", self.lines(day))

    def test_a_closing_fault_of_most_of_the_core_takes_twice_as_long_to_settle(self):
        for fallen, lines in ((2, set()), (1, {"CONFIG late"})):
            day = clean_day()
            move_single(day, at_us=56 * S)
            day.closing_us, day.back_us = 60 * S, 61 * S
            for node in NODES[:fallen]:
                day.troubles.append(
                    Trouble(machine=node, what="power", begin_us=60 * S, end_us=61 * S)
                )
            request = next(
                r
                for r in day.requests
                if r.target.startswith("/one/") and r.node == "n4" and r.sent_us > 66 * S
            )
            self.assertLess(request.sent_us, 69 * S - 10_000)
            arrivals_of(day, request)[0].service = "b"
            self.assertEqual(self.lines(day) & {"CONFIG late"}, lines)

    def test_an_order_whose_answers_are_lost_may_wait(self):
        day = clean_day()
        day.orders.append(order(9, 5, 60 * S, acked_us=0, ended_us=70 * S))
        self.assertIn("ACKS", self.lines(day))
        day.orders[-1].lost_us = [62 * S, 66 * S]
        self.assertNotIn("ACKS", self.lines(day))

    def test_what_is_acknowledged_again_or_left_unclear(self):
        day = clean_day()
        day.orders[0].tries = tried(
            (S, Answer.ACKNOWLEDGED), (50 * S, Answer.UNCLEAR), (60 * S, Answer.ACKNOWLEDGED)
        )
        self.assertEqual(self.lines(day), set())

    def test_an_order_in_an_unsettled_core_may_wait(self):
        day = clean_day()
        day.orders.append(order(9, 5, 60 * S, acked_us=0, ended_us=70 * S))
        day.troubles.append(Trouble(machine="n2", what="kill", begin_us=59 * S, end_us=66 * S))
        self.assertNotIn("ACKS", self.lines(day))


if __name__ == "__main__":
    unittest.main()
