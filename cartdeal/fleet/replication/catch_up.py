"""Which keys an agent has caught up with, and by whose word.

It owns the argument why a copy may be read after a change of ring or a restart. It must never count a
source that may itself lack what is asked for: then doubt goes on, until all marks that could be lacking are
over.

The rule. A mark counts as written when W of the N owners of its key have it, all by one epoch; so at most N
- W owners that count as caught up lack it, and any R > N - W that answer show it. To keep that true:
- One that goes on owning a key through neighbouring epochs stays caught up with it: what it lacks, the W
  had. Not where the ring gets so small that there are fewer owners: then all ask again.
- One that gains a key has caught up with it after N - W + 1 of its owners by the former ring, each caught
  up by that ring, told what they had. A source tells only by the asker's epoch, so it takes in nothing by
  the former one afterwards. An owner by the present ring that has caught up lacks no more than these, and
  counts as one.
- One that restarted from nothing may have been among the W itself: for it only owners by the present ring
  count, asked after a lease since its start, when no claim is open that its former incarnation answered. It
  counts
  as restarted until its ring was vouched for once: no former incarnation can have been in a later ring
  before.
- In the first ring of all, one of whom no co-owner knows another incarnation has nothing to catch up with; as
many
  have to say so as would have to tell one that restarted.
- After the longest mark, twice the slack between clocks and a lease, all that could be lacking is over.
Owners are by key, ranges by hash. A whole range counts as caught up when so few seats have not told of it
that they can't be too many of any key's owners.
"""

from hashlib import blake2b

from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring

RANGES = 64
ALL = (1 << RANGES) - 1  # a bit for each range
MAX_DEPTH = 8  # neighbouring epochs through which a key is followed back
MAX_SINGLE_KEYS = 10_000  # caught up with one by one, before their range was; the oldest is forgotten

FIRST, RESTARTED, GAINING = "first", "restarted", "gaining"


def key_bytes(key: str) -> bytes:
    return key.encode("utf-8", "surrogatepass")


def range_of(key: str) -> int:
    return blake2b(key_bytes(key), digest_size=1).digest()[0] % RANGES


class CatchUp:
    """One ring, from when it was learnt until its seats change. Times are local, monotonic seconds.

    `was`, `now`: by source, a bit for each range in which it has told all that it had as an owner that was
    caught up by the former ring, or is by this one. `clean`: who knows no other incarnation of ours.
    """

    def __init__(
        self,
        name: str,
        settings,
        ring: Ring,
        former: Ring | None,
        way: str,
        since: float,
        start: float,
        before: "CatchUp | None",
    ):
        self.name, self.copies, self.ring, self.former, self.way = name, settings.copies, ring, former, way
        self.before = before if before and before.depth < MAX_DEPTH else None
        self.depth = 1 + (self.before.depth if self.before else 0)
        self.n, self.w, self.r = quorum(settings, ring)
        self.former_n, self.former_w, _ = quorum(settings, former) if former else (0, 0, 0)
        self.others = tuple(each for each in ring.names if each != name)
        self.ready_at = start + settings.lease_s * (
            1 + settings.clock_drift
        )  # when a restarted one may be told
        self.over_at = since + (1 + settings.clock_drift) * (
            settings.longest_mark_s + 2 * settings.clock_ahead_s + settings.lease_s
        )
        self.was: dict[str, int] = {}
        self.now: dict[str, int] = {}
        self.clean: dict[str, None] = {}
        self.keys: dict[str, None] = {}
        self.known_until = 0.0
        self.whole = ALL if way == FIRST and not self.others else 0

    @property
    def sources(self) -> tuple[str, ...]:
        if self.way == GAINING:
            return tuple(each for each in self.former.names if each != self.name)
        return self.others

    def told(self, source: str, was: int, now: int):
        self.known_until = 0.0
        self.was[source] = self.was.get(source, 0) | was
        self.now[source] = self.now.get(source, 0) | now

    def restarted(self):
        """Somebody knows another incarnation of ours in the first ring."""
        if self.way == FIRST:
            self.way, self.whole = RESTARTED, 0
            self.clean, self.was, self.now = {}, {}, {}

    def done(self, now: float) -> bool:
        return self.ranges(now) == ALL

    def ranges(self, now: float) -> int:
        """A bit for each range that has been caught up with as a whole."""
        if self.whole == ALL or now >= self.over_at:
            return ALL
        sources = self.sources
        if self.way == FIRST:
            if len(sources) - len(self.clean) <= self.w - 2:
                self.whole = ALL
            return self.whole
        if self.known_until <= now:
            # What a source has told changes it, and time does, by way of the era before.
            self.known_until = now + 1.0
            told, missing = (self.was, self.former_w - 1) if self.way == GAINING else (self.now, self.w - 2)
            lacking = [ALL & ~told.get(each, 0) for each in sources]
            if self.way == GAINING and self.name in self.former.member_by_name:
                lacking.append(ALL & ~self.before.ranges(now) if self.before else ALL)
            over = [ALL] + [0] * (missing + 1)  # by count: ranges that so many or more have not told of
            for each in lacking:
                for count in range(missing, -1, -1):
                    over[count + 1] |= over[count] & each
            self.whole |= ALL & ~over[-1]
        return self.whole

    def caught_up(self, key: str, now: float) -> bool:
        place = range_of(key)
        if now >= self.over_at or self.whole >> place & 1 or key in self.keys:
            return True
        if self.way == FIRST:
            return self.enough(key, (), self.clean, now)
        return self.enough(
            key,
            *([each for each, bits in told.items() if bits >> place & 1] for told in (self.was, self.now)),
            now,
        )

    def enough(self, key: str, was, now_too, now: float) -> bool:
        """Whether it is enough that these told of a key; `was`, `now_too` as above, for this key alone."""
        here = owners(self.ring, key_bytes(key), self.copies)
        if self.way != GAINING:
            return sum(each in now_too for each in here if each != self.name) >= self.n - self.w + 1
        there = owners(self.former, key_bytes(key), self.copies)
        mine = self.name in there and self.before is not None and self.before.caught_up(key, now)
        if mine and self.n >= self.former_n:
            return True
        told = {each for each in there if each in was} | {each for each in here if each in now_too}
        return mine + len(told - {self.name}) >= self.former_n - self.former_w + 1

    def was_caught_up(self, key: str, now: float) -> bool:
        """Whether we count as a source for what was written by the former ring."""
        return (
            self.before is not None
            and self.former is not None
            and self.name in owners(self.former, key_bytes(key), self.copies)
            and self.before.caught_up(key, now)
        )

    def was_whole(self, now: float) -> int:
        """The same for whole ranges, a bit for each."""
        return self.before.ranges(now) if self.before and self.name in self.former.member_by_name else 0

    def keep(self, key: str):
        self.keys[key] = None
        if len(self.keys) > MAX_SINGLE_KEYS:
            del self.keys[next(iter(self.keys))]


def quorum(settings, ring: Ring) -> tuple[int, int, int]:
    """Owners of a key, how many must write, how many answer; with fewer owners than copies, most of them."""
    n = min(settings.copies, len(ring.members))
    if n == settings.copies:
        return n, settings.write_by, settings.read_by
    return n, n // 2 + 1, n // 2 + 1
