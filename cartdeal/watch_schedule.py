"""Decides when an agent calls the discovery service: at once or after a random pause.

There are two kinds of pauses. After a watch that had a list, the pause is short: a change may have ended the
watch, and counts as known to the agent about two seconds after it was made. After calls that got no list, the
service may be overloaded or unreachable, and the pauses grow. All times are in seconds on the host's clock.
"""

from math import inf

from cartdeal.balancer_types import DecayingSum

FIRST_PAUSE_S = 0.5  # mean, after a watch that fell silent and after the first call that failed
URGENT_PAUSE_S = 0.35  # mean, after a failed call while a list is urgent
URGENT_AFTER_END_S = 2.0  # after a watch ended; then a change that ended the watch counts as known
URGENT_AFTER_MOVE_S = 4.0  # after a configuration change; then the list of the new service counts as known
CALL_SPREAD_S = 0.5  # over which agents that lose their watches at the same time spread their next calls
LIST_FRESH_S = 0.25  # after a list, in which no call is made, however soon the watch ends
HEARTBEAT_INTERVAL_S = 2.0  # between the lines of a working watch
MAX_EARLY_ENDS = 1.9  # decaying count of watches without news that ended before their second line
EARLY_ENDS_DECAY_S = 12.0
# A change counts as known 6 s after discovery becomes reachable. A call that just missed that moment may
# hang: it and the pause after it may take this long, and one second is left for the next call among hundreds.
MAX_CALL_INTERVAL_S = 5.0
MAX_PAUSE_WITHOUT_SERVERS_S = 1.0  # mean, for an agent that knows no server


class WatchSchedule:
    """The part of the state of an agent's watch that decides when the service is called again.

    `is_active` tells whether the current watch has had a list. `next_call_at` is the time of the next call.
    """

    def __init__(self, now: float, poll_interval: float, is_active: bool):
        """Starts with a call that is due at once.

        Args:
            now: the current time.
            poll_interval: the interval between calls that the settings state.
            is_active: whether lists arrive without a call.
        """
        self.max_pause = poll_interval / 3
        self.is_active = is_active
        self.next_call_at = now
        self.called_at = now  # time of the first call that has got no list yet; infinite if there is none
        self.established_at = now  # when the current watch had its first line
        self.had_news = False  # whether a list of the current watch changed anything
        self.urgent_until = -inf
        self.forget_failures(now)

    def forget_failures(self, now: float):
        """Resets the growing pause and the count of watches that ended early."""
        self.call_pause = FIRST_PAUSE_S
        self.early_ends = DecayingSum(EARLY_ENDS_DECAY_S, now)

    def called(self, now: float):
        """The service was called; the next call is due later in case this one gets no response."""
        self.called_at = min(self.called_at, now)
        self.next_call_at = now + self.max_pause

    def answered(self, now: float, has_news: bool):
        """The watch had a list or a heartbeat line; `has_news`: it changed something."""
        if not self.is_active:
            self.established_at = now
            self.had_news = False
        self.had_news |= has_news
        self.is_active = True
        self.called_at = inf
        self.call_pause = FIRST_PAUSE_S

    def failed(self, now: float, is_silent: bool, knows_servers: bool, fraction: float):
        """The watch ended or fell silent, or the call for one got no list.

        Args:
            now: the current time.
            is_silent: whether the watch sent nothing for too long.
            knows_servers: whether the agent knows any server.
            fraction: a random number from 0 to 1 that sets the pause until the next call.
        """
        if not self.is_active:
            self.next_call_at = now + self.pause_after_call(now, knows_servers) * (0.5 + fraction)
        elif self.ends_early_again(now):
            self.next_call_at = now + self.max_mean_pause(now, knows_servers) * (0.5 + fraction)
        elif is_silent:
            self.next_call_at = now + FIRST_PAUSE_S * (0.5 + fraction)
        else:
            self.urgent_until = now + URGENT_AFTER_END_S
            self.next_call_at = max(now, self.established_at + LIST_FRESH_S) + CALL_SPREAD_S * fraction
        self.is_active = False
        self.called_at = inf

    def ends_early_again(self, now: float) -> bool:
        """Counts an early end of the watch and tells whether watches have repeatedly ended early.

        A watch that had news does not count: where servers are replaced one after the other, each change may
        end the watches.
        """
        if self.had_news or now >= self.established_at + HEARTBEAT_INTERVAL_S:
            return False
        is_repeated = self.early_ends.read(now) > MAX_EARLY_ENDS
        self.early_ends.add(now)
        return is_repeated

    def pause_after_call(self, now: float, knows_servers: bool) -> float:
        """The mean pause after a failed call; it doubles from call to call unless a list is urgent."""
        if now < self.urgent_until:
            return URGENT_PAUSE_S
        pause = min(self.call_pause, self.max_mean_pause(now, knows_servers))
        self.call_pause = 2 * pause
        return pause

    def max_mean_pause(self, now: float, knows_servers: bool) -> float:
        """The longest mean pause; a drawn pause may be half as long again."""
        max_pause = MAX_PAUSE_WITHOUT_SERVERS_S
        if knows_servers:
            max_pause = (min(self.called_at, now) + MAX_CALL_INTERVAL_S - now) / 1.5
        return max(FIRST_PAUSE_S, min(max_pause, self.max_pause))

    def moved(self, now: float):
        """The service has a new address and is called there at once."""
        self.is_active = False
        self.called_at = inf
        self.next_call_at = now
        self.urgent_until = now + URGENT_AFTER_MOVE_S
        self.forget_failures(now)
