"""Documented invariants of the fleet, checked against the history of observations."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterator

from soak.history import PATH_CUT, ConfigurationChange, Disturbance, History, Sent, Violation
from standins.platform_engine import Arrival

__all__ = ["STREAM_EVENTS", "check"]

STABILIZATION_S = 3.0
CONFIGURATION_DELAY_S = 2.0
DRAIN_DELAY_S = 2.0
KEY_REVOCATION_DELAY_S = 5.0
ROLLBACK_SLACK_S = 0.25
STREAM_EVENTS = 20
NOT_RUN_STATUSES = (408, 421, 429, 503)
AT_MOST_ONCE_KINDS = ("order", "digest")
BUDGET_RATIO = 0.2
BUDGET_RESERVE_RETRIES = 50.0
BUDGET_WINDOW_S = 10.0
LOAD_FACTOR = 2.0
LOAD_EXTRA_REQUESTS = 3
MAX_OVERLOADED_SHARE = 0.03
MIN_OVERLOADED_ARRIVALS = 20
MIN_RECOVERED_SHARE = 0.9
PAUSE_DELAY_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
MIN_RECOVERY_REQUESTS = 10
LIMIT_TOLD_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
COLD_TOLD_S = 1.0
COLD_WINDOW_S = 1.0
MAX_COLD_ARRIVALS = 11
MIN_POISON_ENDS = 3
MAX_LATE_POISON = 3
MAX_JOINED_STREAMS = 2
MIN_PATH_REQUESTS = 20
MIN_PATH_SHARE = 2 / 3
PATH_SLACK_REQUESTS = 10


def check(history: History) -> list[Violation]:
    """Return all violations of invariants in a history."""
    runs, arrivals = Counter(), Counter()
    for engine in history.platform.engines:
        for arrival in engine.arrivals:
            arrivals[arrival.id] += 1
            runs[arrival.id] += arrival.has_run
    return [
        *check_answers(history),
        *check_runs(history, runs),
        *check_refusals(history, runs),
        *check_draining(history),
        *check_announcements(history),
        *check_pauses(history),
        *check_limits(history),
        *check_cold(history),
        *check_poison(history),
        *check_versions(history),
        *check_paths(history),
        *check_planned_stops(history, arrivals),
        *check_configuration(history),
        *check_configuration_order(history),
        *check_keys(history),
        *check_retry_budget(history),
        *check_load(history),
        *check_recovery(history),
        *(Violation("router liveness", end) for end in history.unexpected_exits),
    ]


def check_answers(history: History) -> Iterator[Violation]:
    """Check that every success is complete, signed and belongs to its request."""
    for sent in finished_requests(history):
        if sent.status != 200 or sent.body is None:
            continue
        if not sent.is_signed or not is_complete_answer(sent):
            yield Violation("answer integrity", f"{sent.id} at {sent.sent:.2f}: {sent.body[:60]}")


def is_complete_answer(sent: Sent) -> bool:
    """Return whether a body is the complete answer to its request."""
    if sent.kind in ("report", "digest"):
        numbers = [int(line[4:]) for line in sent.body.split(b"\n") if line.startswith(b"id: ")]
        return bool(numbers) and numbers == list(range(sent.after + 1, STREAM_EVENTS + 1))
    return sent.body == f"answer to {sent.id}".encode()


def check_runs(history: History, runs: Counter) -> Iterator[Violation]:
    """Check that requests that may not be retried run at most once."""
    for sent in history.requests:
        if sent.kind in AT_MOST_ONCE_KINDS and runs[sent.id] > 1:
            yield Violation("at most once", f"{sent.id} ran {runs[sent.id]} times")


def check_refusals(history: History, runs: Counter) -> Iterator[Violation]:
    """Check that requests answered as not run have not run."""
    for sent in finished_requests(history):
        if sent.kind in AT_MOST_ONCE_KINDS and sent.status in NOT_RUN_STATUSES and runs[sent.id]:
            yield Violation("refused requests not run", f"{sent.id} got {sent.status} and ran")


def check_draining(history: History) -> Iterator[Violation]:
    """Check that draining engines get no new work from routers that no fault affects."""
    by_id = {sent.id: sent for sent in history.requests}
    for engine in history.platform.engines:
        drain_start = history.drain_starts.get(engine.id)
        if drain_start is None:
            continue
        due = drain_start + DRAIN_DELAY_S
        for arrival in engine.arrivals:
            sent = by_id.get(arrival.id)
            if sent is None or sent.sent < due or arrival.at < due:
                continue
            if history.is_undisturbed(sent.router, drain_start - STABILIZATION_S, arrival.at):
                late_s = arrival.at - drain_start
                yield Violation(
                    "draining engines",
                    f"{engine.id} got {arrival.id} {late_s:.2f} s after its drain began",
                )


def arrivals_by_router(history: History) -> Iterator[tuple[str, int, list[tuple[Sent, Arrival]]]]:
    """Yield, for each engine and router, the requests that arrived, in order."""
    by_id = {sent.id: sent for sent in history.requests}
    for engine in history.platform.engines:
        by_router = defaultdict(list)
        for arrival in engine.arrivals:
            if arrival.id in by_id:
                by_router[by_id[arrival.id].router].append((by_id[arrival.id], arrival))
        for router, arrivals in by_router.items():
            yield engine.id, router, arrivals


def check_announcements(history: History) -> Iterator[Violation]:
    """Check that a router which passed on an engine's announcement sends it no new work."""
    for engine, router, arrivals in arrivals_by_router(history):
        announced_at = next((a.at for _, a in arrivals if a.has_announced), None)
        if announced_at is None:
            continue
        for sent, arrival in arrivals:
            is_late = sent.sent > announced_at + DRAIN_DELAY_S
            if is_late and history.is_running(router, announced_at, arrival.at):
                yield Violation(
                    "announced departures",
                    f"{engine} got {arrival.id} {sent.sent - announced_at:.2f} s after it said so",
                )


def check_pauses(history: History) -> Iterator[Violation]:
    """Check that a router leaves an engine alone for as long as its refusal asks."""
    for engine, router, arrivals in arrivals_by_router(history):
        for _, refused in arrivals:
            since, until = refused.at + PAUSE_DELAY_S, refused.at + refused.pause_s
            count = sum(since < arrival.at < until for _, arrival in arrivals)
            if count > MAX_ARRIVALS_IN_PAUSE and history.is_running(router, refused.at, until):
                yield Violation("pauses", f"{engine} got {count} requests in a pause of {router}")
                break


def check_limits(history: History) -> Iterator[Violation]:
    """Check that routers which passed on an engine's limit keep to it together."""
    counted = defaultdict(list)
    for engine, router, arrivals in arrivals_by_router(history):
        told_at = next((a.at for _, a in arrivals if a.limit_per_s is not None), math.inf)
        counted[engine] += [
            arrival
            for _, arrival in arrivals
            if arrival.limit_per_s is not None
            and arrival.at >= told_at + LIMIT_TOLD_S
            and history.is_running(router, arrival.at - LIMIT_WINDOW_S, arrival.at)
        ]
    for engine in history.platform.engines:
        named_at = next((a.at for a in engine.arrivals if a.limit_per_s is not None), math.inf)
        due = [a for a in counted[engine.id] if a.at >= named_at + STABILIZATION_S]
        for first in due:
            count = sum(first.at <= a.at < first.at + LIMIT_WINDOW_S for a in due)
            if count > LIMIT_FACTOR * first.limit_per_s * LIMIT_WINDOW_S + LIMIT_EXTRA_REQUESTS:
                detail = f"{engine.id} got {count} in 4 s, {first.limit_per_s:g}/s allowed"
                yield Violation("engine limits", detail)
                break


def check_cold(history: History) -> Iterator[Violation]:
    """Check that a cold engine gets few requests in any second, once it has told that it is."""
    for engine in history.platform.engines:
        cold = sorted(a.at for a in engine.arrivals if a.is_cold)
        due = [at for at in cold if at >= cold[0] + COLD_TOLD_S]
        most = max((sum(s <= at < s + COLD_WINDOW_S for at in due) for s in due), default=0)
        if most > MAX_COLD_ARRIVALS:
            yield Violation("cold engines", f"{engine.id} got {most} requests in one second")


def check_poison(history: History) -> Iterator[Violation]:
    """Check that a request under which three engines ended is kept from them."""
    routers = {sent.id: sent for sent in history.requests if sent.kind == "poison"}
    ends, arrivals = defaultdict(list), defaultdict(list)
    for engine in history.platform.engines:
        runs = [a for a in engine.arrivals if a.id in routers and a.has_run]
        for arrival in runs:
            arrivals[arrival.body].append(arrival)
        for body in {a.body for a in runs}:
            ends[body].append(min(a.at for a in runs if a.body == body))
    for content, ended_at in ends.items():
        if len(ended_at) < MIN_POISON_ENDS:
            continue
        due = sorted(ended_at)[MIN_POISON_ENDS - 1] + STABILIZATION_S
        late = [
            arrival
            for arrival in arrivals[content]
            if arrival.at > due
            and history.is_undisturbed(
                routers[arrival.id].router, arrival.at - STABILIZATION_S, arrival.at
            )
        ]
        if len(late) > MAX_LATE_POISON:
            yield Violation("poison requests", f"{content!r} reached engines {len(late)} times")


def check_versions(history: History) -> Iterator[Violation]:
    """Check that streams go on only at the software version that began them."""
    requests = {sent.id: sent for sent in history.requests}
    runs = defaultdict(list)
    for engine in history.platform.engines:
        for arrival in engine.arrivals:
            if arrival.has_sent_events and arrival.id in requests:
                sent = requests[arrival.id]
                runs[sent.first_request or sent.id].append(arrival)
    joined = [
        f"{stream} {sorted({arrival.version for arrival in arrivals})}"
        for stream, arrivals in runs.items()
        if is_joined(arrivals, requests)
    ]
    if len(joined) > MAX_JOINED_STREAMS:
        yield Violation("stream versions", f"{len(joined)} streams: {', '.join(joined[:5])}")


def is_joined(arrivals: list[Arrival], requests: dict[str, Sent]) -> bool:
    """Return whether a stream went on at another version than that of the run before.

    An attempt that was given up before its events arrived is no part of the stream: the next one
    begins it anew.
    """
    version = None
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
        if version not in (None, arrival.version) and goes_on(arrival, requests[arrival.id]):
            return True
        version = arrival.version
    return False


def goes_on(arrival: Arrival, sent: Sent) -> bool:
    """Return whether a run goes on with a stream, as its caller had events of it already."""
    has_begun = sent.first_event_at is not None and arrival.at >= sent.first_event_at
    return has_begun or sent.first_request is not None or "last-event-id" in arrival.headers


def check_paths(history: History) -> Iterator[Violation]:
    """Check that routers without a path to engines serve their callers nearly as the others do."""
    cuts = [d for d in history.disturbances if d.what == PATH_CUT]
    shares = {}
    for is_cut in (True, False):
        requests = [
            sent
            for sent in finished_requests(history)
            if sent.kind in ("lookup", "order", "report")
            and sent.status != 401
            and not sent.has_left
            and any(c.since + STABILIZATION_S <= sent.sent < c.until - 1.0 for c in cuts)
            and has_path_somewhere(history, cuts, sent.sent)
            and is_cut
            == any(c.router == sent.router and c.since <= sent.sent < c.until for c in cuts)
            and not is_disturbed_beside(history, sent)
        ]
        served = sum(sent.status == 200 and sent.body is not None for sent in requests)
        shares[is_cut] = (served, len(requests))
    (served_cut, cut), (served_else, others) = shares[True], shares[False]
    if cut < MIN_PATH_REQUESTS or not served_else:
        return
    if served_cut / cut < MIN_PATH_SHARE * served_else / others and (
        cut - served_cut > PATH_SLACK_REQUESTS
    ):
        detail = f"{served_cut} of {cut} served without a path, {served_else} of {others} else"
        yield Violation("paths to engines", detail)


def has_path_somewhere(history: History, cuts: list[Disturbance], moment: float) -> bool:
    """Return whether any router that callers use had a path to the engines at a moment."""
    routers = {sent.router for sent in history.requests}
    return bool(routers - {c.router for c in cuts if c.since <= moment < c.until})


def is_disturbed_beside(history: History, sent: Sent) -> bool:
    """Return whether another fault than a cut from engines affects a router or engines."""
    return any(
        d.what != PATH_CUT
        and d.router in (None, sent.router)
        and d.since <= sent.ended
        and d.until >= sent.sent - STABILIZATION_S
        for d in history.disturbances
    )


def check_planned_stops(history: History, arrivals: Counter) -> Iterator[Violation]:
    """Check that planned stops cut off no request that had reached an engine."""
    stops = [d for d in history.disturbances if d.is_planned]
    for sent in finished_requests(history):
        if sent.body is not None or not arrivals[sent.id] or sent.has_left:
            continue
        stop = next((s for s in stops if s.router == sent.router and overlaps(s, sent)), None)
        if stop and has_only_planned_disturbances(history, sent):
            yield Violation("planned stops", f"{sent.id} was cut off at router {sent.router}")


def overlaps(stop, sent: Sent) -> bool:
    """Return whether a request was in flight during a stop."""
    return sent.sent <= stop.until and sent.ended >= stop.since


def has_only_planned_disturbances(history: History, sent: Sent) -> bool:
    """Return whether planned stops are the only faults that affected a request."""
    return not any(
        d.router in (None, sent.router)
        and not d.is_planned
        and d.since <= sent.ended
        and d.until >= sent.sent - STABILIZATION_S
        for d in history.disturbances
    )


def check_configuration(history: History) -> Iterator[Violation]:
    """Check that a desired state is applied within `CONFIGURATION_DELAY_S` of its confirmation."""
    for sent in finished_requests(history):
        if sent.kind != "probe" or sent.status not in (200, 404):
            continue
        if not history.is_undisturbed(sent.router, sent.sent - STABILIZATION_S, sent.ended):
            continue
        due = sent.sent - CONFIGURATION_DELAY_S
        oldest = max((c.version for c in history.changes if c.confirmed_at <= due), default=0)
        allowed = {
            has_probe_route(sent, c) for c in history.changes if c.version >= oldest and oldest
        }
        allowed &= {
            has_probe_route(sent, c) for c in history.changes if c.confirmed_at <= sent.ended
        }
        if oldest and allowed and (sent.status == 200) not in allowed:
            yield Violation(
                "configuration propagation", f"{sent.path} got {sent.status} from {sent.id}"
            )


def has_probe_route(sent: Sent, change: ConfigurationChange) -> bool:
    """Return whether a desired state has the route that a probe requests."""
    return sent.path.startswith(change.probe_prefix)


def check_configuration_order(history: History) -> Iterator[Violation]:
    """Check that no router process returns to an older version of the configuration."""
    newest: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for sent in sorted(finished_requests(history), key=lambda sent: sent.ended):
        if sent.kind != "probe" or sent.status != 200:
            continue
        version = max((c.version for c in history.changes if has_probe_route(sent, c)), default=0)
        shown = newest[sent.router, sent.start]
        for ended, seen in shown:
            if seen > version and sent.sent > ended + ROLLBACK_SLACK_S:
                yield Violation(
                    "monotonic configuration",
                    f"router {sent.router}: version {version} after {seen}",
                )
                break
        shown.append((sent.ended, version))


def check_keys(history: History) -> Iterator[Violation]:
    """Check that revoked keys are refused in time and keys valid in every state are accepted."""
    for sent in finished_requests(history):
        if not history.changes or sent.kind == "probe":
            continue
        due = sent.sent - KEY_REVOCATION_DELAY_S
        since = [c for c in history.changes if c.confirmed_at > due]
        before = [c for c in history.changes if c.confirmed_at <= due][-1:]
        possible = [*before, *since]
        is_valid = any(sent.key in c.keys for c in possible)
        is_undisturbed = history.is_undisturbed(
            sent.router, sent.sent - STABILIZATION_S, sent.ended
        )
        if sent.status == 200 and not is_valid and is_undisturbed:
            yield Violation("revoked keys", f"{sent.id} was served with revoked key {sent.key}")
        if sent.status == 401 and all(sent.key in c.keys for c in history.changes):
            yield Violation("revoked keys", f"{sent.id} was refused with valid key {sent.key}")


def check_retry_budget(history: History) -> Iterator[Violation]:
    """Check that retries stay within the shared budget in every window."""
    for service in ("desk", "model"):
        seen: set[str] = set()
        first_sent, retried = [], []
        engines = [e for e in history.platform.engines if e.service == service]
        for arrival in sorted((a for e in engines for a in e.arrivals), key=lambda a: a.at):
            (retried if arrival.id in seen else first_sent).append(arrival.at)
            seen.add(arrival.id)
        for since in retried:
            until = since + BUDGET_WINDOW_S
            retries = sum(since <= at < until for at in retried)
            first_count = sum(since - BUDGET_WINDOW_S <= at < until for at in first_sent)
            if retries > BUDGET_RATIO * first_count + BUDGET_RESERVE_RETRIES:
                yield Violation(
                    "retry budget", f"{service}: {retries} retries in {BUDGET_WINDOW_S} s"
                )
                break


def check_load(history: History) -> Iterator[Violation]:
    """Check that no engine is loaded far above the mean in periods without faults."""
    total, overloaded = 0, 0
    for service in ("desk", "model"):
        engines = [e for e in history.platform.engines if e.service == service]
        arrivals = sorted((a.at, a.running_before, e.id) for e in engines for a in e.arrivals)
        latest: dict[str, int] = {}
        for at, beside, engine in arrivals:
            latest[engine] = beside
            mean = sum(latest.values()) / len(latest)
            if any(d.since <= at <= d.until + STABILIZATION_S for d in history.disturbances):
                continue
            total += 1
            overloaded += beside > LOAD_FACTOR * mean + LOAD_EXTRA_REQUESTS
    if overloaded >= MIN_OVERLOADED_ARRIVALS and overloaded > MAX_OVERLOADED_SHARE * total:
        yield Violation(
            "load bound", f"{overloaded} of {total} arrivals at engines far above the mean"
        )


def check_recovery(history: History) -> Iterator[Violation]:
    """Check that the share of requests served recovers after the last fault."""
    requests = [
        s
        for s in finished_requests(history)
        if s.sent >= history.recovery_start and s.kind not in ("probe", "poison")
    ]
    served = sum(s.status == 200 and s.body is not None for s in requests if s.status != 401)
    authorized = sum(s.status != 401 for s in requests)
    if authorized >= MIN_RECOVERY_REQUESTS and served < MIN_RECOVERED_SHARE * authorized:
        yield Violation(
            "recovery", f"{served} of {authorized} requests served after the last fault"
        )


def finished_requests(history: History) -> Iterator[Sent]:
    """Return an iterator over the requests that have ended."""
    return (sent for sent in history.requests if sent.ended)
