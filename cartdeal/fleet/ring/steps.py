"""Steps: a ring as what differs from the ring before, as agents send it to each other."""

from msgspec import Struct

from cartdeal.fleet.ring.ring import Ring, RingMember


class RingStep(Struct, frozen=True, array_like=True):
    """A ring by what differs from the ring before: small where few members change."""

    epoch: int
    previous_digest: bytes  # of the ring before
    removed: tuple[str, ...]
    members: tuple[RingMember, ...]  # those that are new or differ
    written_version: int
    phase: str
    founded_ms: int = 0  # in the first one


def step_between(old: Ring, new: Ring) -> RingStep:
    """The step that leads from `old` to `new`."""
    old_members = old.member_by_name
    return RingStep(
        new.epoch,
        old.digest,
        tuple(name for name in old.names if name not in new.member_by_name),
        tuple(member for member in new.members if old_members.get(member.name) != member),
        new.written_version,
        new.phase,
        0 if old.epoch else new.founded_ms,
    )


def apply_step(old: Ring, step: RingStep) -> Ring:
    """The ring that `step` leads to from `old`.

    Raises:
        ValueError: where the step starts from another ring.
    """
    if step.previous_digest != old.digest:
        raise ValueError("a step from another ring")
    members = old.member_by_name | {member.name: member for member in step.members}
    for name in step.removed:
        members.pop(name, None)
    return Ring(
        step.epoch,
        tuple(members[name] for name in sorted(members)),
        step.written_version,
        step.phase,
        old.founded_ms if old.epoch else step.founded_ms,
    )
