"""Movement: the share of keys that moves between two rings, and the next ring on the way to a target."""

from cartdeal.fleet.ring.ring import Ring, RingMember

# A member rises to this share of its target capacity first, and to all of it later.
FIRST_CAPACITY_SHARE = 0.5
MIN_STEP_SHARE = 0.01  # lower bound of the share of keys that one step may move
SEARCH_PRECISION = 0.01  # relative precision of the fraction that a step goes toward the target


def minimal_movement(old: Ring, new: Ring) -> float:
    """Return the share of keys (0 to 1) that must change their first owner with any placement."""
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
    """Return the share of keys (0 to 1) whose first owner changes.

    The result is exact for an infinite number of keys.

    A key stays with member i if i's score is the lowest in both rings. The share of such keys is
    1 / sum over j of max(w_j / w_i, v_j / v_i), with the capacities w in the old ring and v in the new one
    (Moulton & Jiang 2018). With the result m of minimal_movement, the share is never over 2 * m / (1 + m),
    and it is m if only one member changes.
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
    """Return the next ring on the way to the members in `target`, or `old` itself if that is reached.

    `target` must not be empty. Members that are not in `target` are removed at once, since they are gone and
    can't serve their keys. The other changes move at most the rest of `step_share` of the keys. A member
    rises to half of its target capacity first and to all of it later, so an agent catches up on about half
    its keys in one epoch. The target is reached in at most 3 + 4 / step_share epochs.
    """
    remaining_members = tuple(member for member in old.members if member.name in target)
    if not remaining_members:
        return _successor(old, tuple(target[name] for name in sorted(target)))
    start = old if len(remaining_members) == len(old.members) else Ring(old.epoch, remaining_members)
    allowed_share = max(step_share, MIN_STEP_SHARE) - (1 - start.capacity / old.capacity)

    def ring_at(fraction: float) -> Ring:
        return _successor(old, _members_toward(start, target, fraction))

    next_ring = ring_at(1)
    if moved_share(start, next_ring) > allowed_share:
        low, high = 0.0, 1.0
        while allowed_share > 0 and (high - low > SEARCH_PRECISION * high):
            fraction = (low + high) / 2
            if moved_share(start, ring_at(fraction)) <= allowed_share:
                low = fraction
            else:
                high = fraction
        next_ring = ring_at(low)
    return old if next_ring.members == old.members else next_ring


def _successor(old: Ring, members: tuple[RingMember, ...]) -> Ring:
    return Ring(old.epoch + 1, members, old.written_version, old.phase, old.founded_ms)


def _members_toward(start: Ring, target: dict[str, RingMember], fraction: float) -> tuple[RingMember, ...]:
    """Return the members after `fraction` (0 to 1) of the way to the capacities of the next full step."""
    members = []
    for name in sorted(target):
        old_member, target_member = start.member_by_name.get(name), target[name]
        old_capacity = old_member.capacity if old_member else 0.0
        first_goal = FIRST_CAPACITY_SHARE * target_member.capacity
        goal = target_member.capacity if old_capacity >= first_goal else first_goal
        capacity = goal if fraction == 1 else old_capacity + fraction * (goal - old_capacity)
        if capacity > 0:
            members.append(RingMember(name, target_member.zone, capacity))
    return tuple(members)
