"""The promises of the pages, checked against what callers and engines have seen."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from soak.observed import Broken, Change, Observed, Sent

__all__ = ["EVENTS", "check"]

STABLE_S = 3.0
IN_FORCE_S = 2.0
LEAVING_S = 2.0
REVOKED_S = 5.0
ROLLBACK_SLACK_S = 0.25
EVENTS = 20
NOT_RUN = (408, 421, 429, 503)
ONCE = ("order", "digest")
BUDGET_RATIO = 0.2
BUDGET_RESERVE = 50.0
BUDGET_WINDOW_S = 10.0
LOAD_FACTOR = 2.0
LOAD_EXTRA = 3
LOAD_SHARE = 0.03
FEWEST_ABOVE = 20
SERVED_AGAIN_SHARE = 0.9
FEWEST_AGAIN = 10


def check(observed: Observed) -> list[Broken]:
    """Return every promise that what was seen breaks."""
    runs, arrivals = Counter(), Counter()
    for engine in observed.site.engines:
        for arrival in engine.arrivals:
            arrivals[arrival.id] += 1
            runs[arrival.id] += arrival.has_run
    return [
        *check_answers(observed),
        *check_runs(observed, runs),
        *check_refusals(observed, runs),
        *check_leaving(observed),
        *check_stops(observed, arrivals),
        *check_configuration(observed),
        *check_reverting(observed),
        *check_keys(observed),
        *check_budget(observed),
        *check_load(observed),
        *check_recovery(observed),
        *(Broken("routers run on", end) for end in observed.ends),
    ]


def check_answers(observed: Observed) -> Iterator[Broken]:
    """Check that a success is whole, signed and the request's own."""
    for sent in finished(observed):
        if sent.status != 200 or sent.body is None:
            continue
        if not sent.is_signed or not is_own(sent):
            yield Broken("whole and own answers", f"{sent.id} at {sent.sent:.2f}: {sent.body[:60]}")


def is_own(sent: Sent) -> bool:
    """Tell whether a body is the whole answer to its request."""
    if sent.kind in ("report", "digest"):
        numbers = [int(line[4:]) for line in sent.body.split(b"\n") if line.startswith(b"id: ")]
        return bool(numbers) and numbers == list(range(1, EVENTS + 1))
    return sent.body == f"answer to {sent.id}".encode()


def check_runs(observed: Observed, runs: Counter) -> Iterator[Broken]:
    """Check that what may not be repeated runs once."""
    for sent in observed.requests:
        if sent.kind in ONCE and runs[sent.id] > 1:
            yield Broken("at most once", f"{sent.id} ran {runs[sent.id]} times")


def check_refusals(observed: Observed, runs: Counter) -> Iterator[Broken]:
    """Check that a refused request has not run."""
    for sent in finished(observed):
        if sent.kind in ONCE and sent.status in NOT_RUN and runs[sent.id]:
            yield Broken("not run means not run", f"{sent.id} got {sent.status} and ran")


def check_leaving(observed: Observed) -> Iterator[Broken]:
    """Check that engines that leave get no new work from routers in touch."""
    by_id = {sent.id: sent for sent in observed.requests}
    for engine in observed.site.engines:
        left = observed.leavings.get(engine.id)
        if left is None:
            continue
        due = left + LEAVING_S
        for arrival in engine.arrivals:
            sent = by_id.get(arrival.id)
            if sent is None or sent.sent < due or arrival.at < due:
                continue
            if observed.is_calm(sent.router, left - STABLE_S, arrival.at):
                late_s = arrival.at - left
                yield Broken("leaving engines", f"{engine.id} got {arrival.id} {late_s:.2f} s late")


def check_stops(observed: Observed, arrivals: Counter) -> Iterator[Broken]:
    """Check that planned stops cut no request that was passed on."""
    stops = [d for d in observed.disturbances if d.is_planned]
    for sent in finished(observed):
        if sent.body is not None or not arrivals[sent.id] or sent.has_left:
            continue
        stop = next((s for s in stops if s.router == sent.router and covers(s, sent)), None)
        if stop and only_planned(observed, sent):
            yield Broken("planned stops", f"{sent.id} of router {sent.router} was cut")


def covers(stop, sent: Sent) -> bool:
    """Tell whether a request was under way during a stop."""
    return sent.sent <= stop.until and sent.ended >= stop.since


def only_planned(observed: Observed, sent: Sent) -> bool:
    """Tell whether nothing but planned stops disturbed a request."""
    return not any(
        d.router in (None, sent.router)
        and not d.is_planned
        and d.since <= sent.ended
        and d.until >= sent.sent - STABLE_S
        for d in observed.disturbances
    )


def check_configuration(observed: Observed) -> Iterator[Broken]:
    """Check that a desired state is in force soon after its confirmation."""
    for sent in finished(observed):
        if sent.kind != "probe" or sent.status not in (200, 404):
            continue
        if not observed.is_calm(sent.router, sent.sent - STABLE_S, sent.ended):
            continue
        due = sent.sent - IN_FORCE_S
        oldest = max((c.version for c in observed.changes if c.at <= due), default=0)
        allowed = {sees(sent, c) for c in observed.changes if c.version >= oldest and oldest}
        allowed &= {sees(sent, c) for c in observed.changes if c.at <= sent.ended}
        if oldest and allowed and (sent.status == 200) not in allowed:
            yield Broken("configuration in force", f"{sent.path} got {sent.status} from {sent.id}")


def sees(sent: Sent, change: Change) -> bool:
    """Tell whether a desired state has the route of a probe."""
    return sent.path.startswith(change.probe)


def check_reverting(observed: Observed) -> Iterator[Broken]:
    """Check that a router never shows an older version than it has shown."""
    newest: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for sent in sorted(finished(observed), key=lambda sent: sent.ended):
        if sent.kind != "probe" or sent.status != 200:
            continue
        version = max((c.version for c in observed.changes if sees(sent, c)), default=0)
        shown = newest[sent.router, sent.start]
        for ended, seen in shown:
            if seen > version and sent.sent > ended + ROLLBACK_SLACK_S:
                yield Broken("never reverting", f"router {sent.router}: {version} after {seen}")
                break
        shown.append((sent.ended, version))


def check_keys(observed: Observed) -> Iterator[Broken]:
    """Check that keys taken away are refused soon, and keys of all states never."""
    for sent in finished(observed):
        if not observed.changes or sent.kind == "probe":
            continue
        due = sent.sent - REVOKED_S
        since = [c for c in observed.changes if c.at > due]
        before = [c for c in observed.changes if c.at <= due][-1:]
        possible = [*before, *since]
        is_held = any(sent.key in c.keys for c in possible)
        is_calm = observed.is_calm(sent.router, sent.sent - STABLE_S, sent.ended)
        if sent.status == 200 and not is_held and is_calm:
            yield Broken("revoked keys", f"{sent.id} was served with {sent.key}")
        if sent.status == 401 and all(sent.key in c.keys for c in observed.changes):
            yield Broken("revoked keys", f"{sent.id} was refused with {sent.key}")


def check_budget(observed: Observed) -> Iterator[Broken]:
    """Check that repeats stay within the shared budget in every window."""
    for service in ("desk", "model"):
        seen: set[str] = set()
        first, again = [], []
        engines = [e for e in observed.site.engines if e.service == service]
        for arrival in sorted((a for e in engines for a in e.arrivals), key=lambda a: a.at):
            (again if arrival.id in seen else first).append(arrival.at)
            seen.add(arrival.id)
        for since in again:
            until = since + BUDGET_WINDOW_S
            repeats = sum(since <= at < until for at in again)
            firsts = sum(since - BUDGET_WINDOW_S <= at < until for at in first)
            if repeats > BUDGET_RATIO * firsts + BUDGET_RESERVE:
                yield Broken("retry budget", f"{service}: {repeats} repeats in {BUDGET_WINDOW_S} s")
                break


def check_load(observed: Observed) -> Iterator[Broken]:
    """Check that no engine carries far more than the mean while all is calm."""
    total, above = 0, 0
    for service in ("desk", "model"):
        engines = [e for e in observed.site.engines if e.service == service]
        arrivals = sorted((a.at, a.beside, e.id) for e in engines for a in e.arrivals)
        latest: dict[str, int] = {}
        for at, beside, engine in arrivals:
            latest[engine] = beside
            mean = sum(latest.values()) / len(latest)
            if any(d.since <= at <= d.until + STABLE_S for d in observed.disturbances):
                continue
            total += 1
            above += beside > LOAD_FACTOR * mean + LOAD_EXTRA
    if above >= FEWEST_ABOVE and above > LOAD_SHARE * total:
        yield Broken("load bound", f"{above} of {total} arrivals at engines far above the mean")


def check_recovery(observed: Observed) -> Iterator[Broken]:
    """Check that requests are served again after the last trouble."""
    again = [s for s in finished(observed) if s.sent >= observed.calm_from and s.kind != "probe"]
    served = sum(s.status == 200 and s.body is not None for s in again if s.status != 401)
    asked = sum(s.status != 401 for s in again)
    if asked >= FEWEST_AGAIN and served < SERVED_AGAIN_SHARE * asked:
        yield Broken("recovery", f"{served} of {asked} served after the last trouble")


def finished(observed: Observed) -> Iterator[Sent]:
    """Yield the requests that have ended."""
    return (sent for sent in observed.requests if sent.ended)
