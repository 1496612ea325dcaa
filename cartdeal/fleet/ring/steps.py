"""Ring steps: the difference between a ring and the previous one, as agents send it to each other."""

from msgspec import Struct

from cartdeal.fleet.ring.ring import Ring, RingMember


class RingStep(Struct, frozen=True, array_like=True):
    """The difference between a ring and the previous one, which is small if few members change."""

    epoch: int
    previous_digest: bytes  # the digest of the previous ring
    removed: tuple[str, ...]  # the names of the members that leave
    members: tuple[RingMember, ...]  # the new and changed members
    written_version: int
    phase: str
    founded_ms: int = 0  # set only in the step to the first ring


def step_between(old: Ring, new: Ring) -> RingStep:
    """Return the step that leads from `old` to `new`."""
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
    """Return the ring that `step` leads to from `old`.

    Raises:
        ValueError: if the step starts from a different ring.
    """
    if step.previous_digest != old.digest:
        raise ValueError("the step starts from a different ring")
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
