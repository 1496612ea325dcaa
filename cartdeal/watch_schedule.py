"""When an agent calls the discovery service: at once, or after a random pause that fits what came before.

Two kinds of pauses are kept apart. After a watch that had a list, a change may have come in place of its
end, and counts as told about two seconds after it was made: the next call is soon. After calls that got no
list the service may be full or away, and the pauses grow. All times are in seconds on the host's clock.
"""

from math import inf

from cartdeal.balancer_types import DecayingSum

FIRST_PAUSE = 0.5  # mean after a watch that fell silent, and after the first call that failed
URGENT_PAUSE = 0.35  # mean after a failed call while a list is urgent
URGENT_AFTER_END = 2.0  # from a watch's end on: about then a change that came instead of it counts as told
URGENT_AFTER_MOVE = 4.0  # from a new configuration on: then what the new service has to tell counts as told
SPREAD = 0.5  # over which agents that lose their watches in one moment spread their next calls
LIST_FRESH = 0.25  # from a list on; no call is made before, however soon the watch ended
LINE_EVERY = 2.0  # a watch that is in order has a line so often
EARLY_ENDS = 1.9  # watches without news that ended before their second line, fading: then pauses are long
EARLY_ENDS_FADE = 12.0
# What discovery has counts as told 6 s after it can be reached. A call that just missed it may hang: with the
# pause after it, it may take so long, and a second is left for the next one among hundreds.
CALL_TO_CALL = 5.0
LONGEST_WITHOUT_SERVERS = 1.0  # mean, for an agent that knows no server


class WatchSchedule:
    """The state of one agent's watch, as far as it decides when the service is called again.

    `is_active` says whether the watch that stands has had a list; `next_call_at` is when the next call is
    due.
    """

    def __init__(self, now: float, poll_interval: float, is_active: bool):
        """`poll_interval`: the time that the settings give for asking; `is_active`: whether lists come
        unasked."""
        self.longest_pause = poll_interval / 3
        self.is_active = is_active
        self.next_call_at = now
        self.called_at = now  # the first of the calls that got no list yet; infinite where none is out
        self.listed_at = now  # when the watch that stands had its first line
        self.brought_news = False  # whether a list of that watch changed anything
        self.urgent_until = -inf
        self.forget_failures(now)

    def forget_failures(self, now: float):
        self.call_pause = FIRST_PAUSE
        self.early_ends = DecayingSum(EARLY_ENDS_FADE, now)

    def called(self, now: float):
        """The service was called; should nothing come of it, it is called again in time."""
        self.called_at = min(self.called_at, now)
        self.next_call_at = now + self.longest_pause

    def answered(self, now: float, news: bool):
        """The watch had a list or a line. `news`: whether it changed anything."""
        if not self.is_active:
            self.listed_at = now
            self.brought_news = False
        self.brought_news |= news
        self.is_active = True
        self.called_at = inf
        self.call_pause = FIRST_PAUSE

    def failed(self, now: float, silent: bool, knows_servers: bool, chance: float):
        """The watch ended or fell silent, or the call for one got no list.

        `chance`, 0 to 1, draws the pause until the next call.
        """
        if not self.is_active:
            self.next_call_at = now + self.pause_after_call(now, knows_servers) * (0.5 + chance)
        elif self.ends_early_again(now):
            self.next_call_at = now + self.growing_limit(now, knows_servers) * (0.5 + chance)
        elif silent:
            self.next_call_at = now + FIRST_PAUSE * (0.5 + chance)
        else:
            self.urgent_until = now + URGENT_AFTER_END
            self.next_call_at = max(now, self.listed_at + LIST_FRESH) + SPREAD * chance
        self.is_active = False
        self.called_at = inf

    def ends_early_again(self, now: float) -> bool:
        """Whether the service is one whose watches end early again and again; counts this end.

        A watch that brought news doesn't count: where servers are replaced one after the other, each change
        may end the watches.
        """
        if self.brought_news or now >= self.listed_at + LINE_EVERY:
            return False
        again = self.early_ends.read(now) > EARLY_ENDS
        self.early_ends.add(now)
        return again

    def pause_after_call(self, now: float, knows_servers: bool) -> float:
        """Twice as long from failed call to failed call, but for those while a list is urgent."""
        if now < self.urgent_until:
            return URGENT_PAUSE
        pause = min(self.call_pause, self.growing_limit(now, knows_servers))
        self.call_pause = 2 * pause
        return pause

    def growing_limit(self, now: float, knows_servers: bool) -> float:
        """The longest mean pause; the longest drawn is half as long again."""
        limit = LONGEST_WITHOUT_SERVERS
        if knows_servers:
            limit = (min(self.called_at, now) + CALL_TO_CALL - now) / 1.5
        return max(FIRST_PAUSE, min(limit, self.longest_pause))

    def moved(self, now: float):
        """The service has another address, and is called there at once."""
        self.is_active = False
        self.called_at = inf
        self.next_call_at = now
        self.urgent_until = now + URGENT_AFTER_MOVE
        self.forget_failures(now)
