"""Conversion between protobuf messages and the types of admission, membership and the ledger."""

import msgspec

from marjoramspool import ledger, membership
from marjoramspool.admission import admission_messages
from marjoramspool.placement import bounded_placement
from marjoramspool.routers import peers_pb2 as pb

__all__ = [
    "decode_admission",
    "decode_admission_request",
    "decode_grants",
    "decode_member",
    "decode_operation",
    "decode_result",
    "encode_admission",
    "encode_admission_request",
    "encode_grants",
    "encode_member",
    "encode_operation",
    "encode_result",
]


def encode_admission_request(request: admission_messages.AdmissionRequest) -> pb.Ask:
    """Encode an admission request."""
    return pb.Ask(
        cell=request.cell,
        chat=request.chat,
        holders=[pb.Holder(engine=h.engine, incarnation=h.incarnation) for h in request.holders],
        account=request.account,
        weight=request.weight,
        urgency=request.urgency,
        exclude=request.exclude,
        wait=request.queue_wait_s,
        first=request.is_first_turn,
        patience=request.holder_wait_s,
    )


def decode_admission_request(message: pb.Ask) -> admission_messages.AdmissionRequest:
    """Decode an admission request."""
    return admission_messages.AdmissionRequest(
        cell=message.cell,
        chat=message.chat,
        holders=tuple(bounded_placement.Holder(h.engine, h.incarnation) for h in message.holders),
        account=message.account,
        weight=max(1, message.weight),
        urgency=message.urgency,
        exclude=tuple(message.exclude),
        queue_wait_s=message.wait,
        is_first_turn=message.first,
        holder_wait_s=message.patience,
    )


def encode_admission(number: int, decision: admission_messages.Admission) -> pb.PlaceReply:
    """Encode the decision on an admission request."""
    match decision:
        case admission_messages.Granted(engine, incarnation, why):
            granted = pb.Granted(engine=engine, incarnation=incarnation, why=why)
            return pb.PlaceReply(number=number, granted=granted)
        case admission_messages.Refused(reason, retry_after_s):
            refused = pb.Refused(reason=reason, retry_after=retry_after_s)
            return pb.PlaceReply(number=number, refused=refused)


def decode_admission(message: pb.PlaceReply) -> admission_messages.Admission | None:
    """Decode a decision; return None if the request waits in the queue."""
    match message.WhichOneof("kind"):
        case "granted":
            granted = message.granted
            return admission_messages.Granted(granted.engine, granted.incarnation, granted.why)
        case "refused":
            return admission_messages.Refused(message.refused.reason, message.refused.retry_after)
    return None


def encode_grants(cell: str, grants: dict[tuple[str, str], int]) -> pb.Holdings:
    """Encode the grants that a router holds in a cell."""
    holds = [pb.Hold(engine=e, account=a, count=n) for (e, a), n in grants.items()]
    return pb.Holdings(cell=cell, holds=holds)


def decode_grants(message: pb.Holdings) -> dict[tuple[str, str], int]:
    """Decode the grants that a router holds in a cell."""
    return {(hold.engine, hold.account): hold.count for hold in message.holds}


def encode_member(member: membership.Member) -> pb.Member:
    """Encode a member."""
    return pb.Member(
        name=member.name,
        address=member.address,
        domain=member.domain,
        operators=member.operators,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def decode_member(message: pb.Member) -> membership.Member:
    """Decode a member."""
    return membership.Member(
        name=message.name,
        address=message.address,
        domain=message.domain,
        operators=message.operators,
        incarnation=message.incarnation,
        state=membership.State(min(message.state, max(membership.State))),
    )


OPERATION_KINDS = {ledger.Take: 1, ledger.Finish: 2, ledger.Release: 3}
RESULT_KINDS = {
    ledger.Granted: 1,
    ledger.Repeated: 2,
    ledger.Claimed: 3,
    ledger.Mismatch: 4,
    ledger.Unsettled: 5,
}


def encode_operation(operation: ledger.Operation, timeout_s: float) -> pb.ClaimRequest:
    """Encode a ledger operation."""
    step = OPERATION_KINDS[type(operation)]
    body = msgspec.msgpack.encode(operation)
    return pb.ClaimRequest(step=step, body=body, wait=timeout_s)


def decode_operation(message: pb.ClaimRequest) -> ledger.Operation:
    """Decode a ledger operation; raise ValueError if it is malformed."""
    kinds = {number: kind for kind, number in OPERATION_KINDS.items()}
    if message.step not in kinds:
        raise ValueError(f"ledger operation kind {message.step} is not known")
    return msgspec.msgpack.decode(message.body, type=kinds[message.step])


def encode_result(result: ledger.Result) -> pb.ClaimReply:
    """Encode the result of a ledger operation."""
    return pb.ClaimReply(kind=RESULT_KINDS[type(result)], answer=msgspec.msgpack.encode(result))


def decode_result(message: pb.ClaimReply) -> ledger.Result:
    """Decode the result of a ledger operation; raise ValueError if it is malformed."""
    kinds = {number: kind for kind, number in RESULT_KINDS.items()}
    if message.kind not in kinds:
        raise ValueError(f"ledger result kind {message.kind} is not known")
    return msgspec.msgpack.decode(message.answer, type=kinds[message.kind])
