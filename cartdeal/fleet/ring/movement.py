"""What moves between two rings, and the next ring on the way to the members that are wanted."""

from cartdeal.fleet.ring.ring import Ring, RingMember

FIRST_SHARE = 0.5  # of its capacity to come, that a member takes on in one epoch; the rest in the next
MIN_STEP_SHARE = 0.01
SEARCH_PRECISION = 0.01  # relative, of the part of the way that a step goes


def minimal_movement(old: Ring, new: Ring) -> float:
    """The share of keys that must change their first owner, however owners are found (0 to 1)."""
    old_members = old.member_by_name
    return sum(
        max(
            0.0,
            member.capacity / new.capacity
            - (old_members[name].capacity / old.capacity if name in old_members else 0.0),
        )
        for name, member in new.member_by_name.items()
    )


def moved_share(old: Ring, new: Ring) -> float:
    """The share of keys whose first owner changes (0 to 1), exactly, for ever so many keys.

    A key stays with i if i's score is the lowest in both rings: 1 / sum over j of max(w_j / w_i, v_j / v_i)
    (Moulton & Jiang 2018). Never over 2 * least / (1 + least), and least itself where one member changes.
    """
    old_members, new_members = old.member_by_name, new.member_by_name
    removed = sum(member.capacity for name, member in old_members.items() if name not in new_members)
    added = sum(member.capacity for name, member in new_members.items() if name not in old_members)
    remaining = sorted(
        (member.capacity / old_members[name].capacity, old_members[name].capacity, member.capacity)
        for name, member in new_members.items()
        if name in old_members
    )
    old_sum = removed
    new_sum = added + sum(new_capacity for _, _, new_capacity in remaining)
    unmoved = 0.0
    for _, old_capacity, new_capacity in remaining:
        old_sum += old_capacity
        new_sum -= new_capacity
        unmoved += 1 / (old_sum / old_capacity + max(new_sum, 0.0) / new_capacity)
    return max(0.0, 1 - unmoved)


def plan_next_ring(old: Ring, target: dict[str, RingMember], step_share: float) -> Ring:
    """The next ring on the way to the members in `target` (not empty), or `old` itself when that is reached.

    Members that are not in `target` go at once: nobody is there to keep their keys. The rest moves no more
    than what is left of `step_share` of the keys. A member rises to half of what it is to have, then to the
    whole: an agent catches up with about half its keys in one epoch. It takes 3 + 4 / step_share epochs at
    most.
    """
    remaining = tuple(member for member in old.members if member.name in target)
    if not remaining:
        return _successor(old, tuple(target[name] for name in sorted(target)))
    start = old if len(remaining) == len(old.members) else Ring(old.epoch, remaining)
    allowed = max(step_share, MIN_STEP_SHARE) - (1 - start.capacity / old.capacity)

    def ring_at(part: float) -> Ring:
        return _successor(old, _members_toward(start, target, part))

    new = ring_at(1)
    if moved_share(start, new) > allowed:
        low, high = 0.0, 1.0
        while allowed > 0 and (high - low > SEARCH_PRECISION * high):
            part = (low + high) / 2
            if moved_share(start, ring_at(part)) <= allowed:
                low = part
            else:
                high = part
        new = ring_at(low)
    return old if new.members == old.members else new


def _successor(old: Ring, members: tuple[RingMember, ...]) -> Ring:
    return Ring(old.epoch + 1, members, old.written_version, old.phase, old.founded_ms)


def _members_toward(start: Ring, target: dict[str, RingMember], part: float) -> tuple[RingMember, ...]:
    """The members after `part` (0 to 1) of the way to the next step's capacities."""
    members = []
    for name in sorted(target):
        before, wanted = start.member_by_name.get(name), target[name]
        old_capacity = before.capacity if before else 0.0
        first = FIRST_SHARE * wanted.capacity
        goal = wanted.capacity if old_capacity >= first else first
        capacity = goal if part == 1 else old_capacity + part * (goal - old_capacity)
        if capacity > 0:
            members.append(RingMember(name, wanted.zone, capacity))
    return tuple(members)
