"""Decides when an agent calls the discovery service: at once or after a random pause.

There are two kinds of pauses. After a watch that had a list, the pause is short: a change may have ended the
watch, and the agent counts as informed of a change about two seconds after it was made: from then on it may
send no attempt to a server that is no longer ready. After calls that got no list, the service may be
overloaded or unreachable, and the pauses grow. All times are in seconds on the host's clock.
"""

from math import inf

from cartdeal.balancer_types import DecayingSum

FIRST_PAUSE_S = 0.5  # mean, after a watch that fell silent and after the first call that failed
URGENT_PAUSE_S = 0.35  # mean, after a failed call while a list is urgent
# A list is urgent from the end of a watch until the agent counts as informed of the change that ended it.
LIST_URGENT_AFTER_END_S = 2.0
# A list is urgent from a change of the service's address until the agent counts as informed of the new list.
LIST_URGENT_AFTER_MOVE_S = 4.0
CALL_SPREAD_S = 0.5  # agents that lose their watches together spread their next calls over this time
MIN_FIRST_LINE_TO_CALL_S = 0.25  # from the first line of a watch to the call after its end
HEARTBEAT_INTERVAL_S = 2.0  # between the lines of a working watch
# Decaying count of watches that delivered no change and ended within HEARTBEAT_INTERVAL_S of their first
# line. Above it, the next call waits for the longest mean pause.
MAX_EARLY_ENDS = 1.9
EARLY_ENDS_DECAY_S = 12.0
# An agent counts as informed of a change 6 s after discovery becomes reachable. A call made just before that
# moment may get no response. The time from that call to the next one is limited to this, which leaves one
# second for the answer to the next call while hundreds of agents call.
MAX_CALL_INTERVAL_S = 5.0
MAX_PAUSE_WITHOUT_SERVERS_S = 1.0  # mean, for an agent that knows no server


class WatchSchedule:
    """The part of the state of an agent's watch that decides when the service is called again.

    `is_active` tells whether the current watch has received its first line, or lists are pushed without a
    call. `next_call_at` is the time of the next call.
    """

    def __init__(self, now: float, poll_interval: float, is_active: bool):
        """Starts with a call that is due at once.

        Args:
            now: the current time.
            poll_interval: the interval between calls that the settings state.
            is_active: whether the service pushes lists without a call; no call is made until that ends.
        """
        # Upper bound of the mean pauses, and the time until a call without a response is repeated.
        self.configured_max_pause = poll_interval / 3
        self.is_active = is_active
        self.next_call_at = now
        self.called_at = now  # of the earliest call neither answered nor failed; infinite if there is none
        self.established_at = now  # when the current watch received its first line
        self.delivered_change = False  # whether a list of the current watch changed the known servers
        # Until then a list is urgent: pauses after failed calls are short and do not grow.
        self.urgent_until = -inf
        self.forget_failures(now)

    def forget_failures(self, now: float):
        """Resets the growing pause and the count of watches that ended early."""
        self.call_pause = FIRST_PAUSE_S
        self.early_ends = DecayingSum(EARLY_ENDS_DECAY_S, now)

    def called(self, now: float):
        """Records a call. Unless it is answered or fails, the next is due after `configured_max_pause`."""
        self.called_at = min(self.called_at, now)
        self.next_call_at = now + self.configured_max_pause

    def answered(self, now: float, has_changes: bool):
        """The watch delivered a list or an empty first line; `has_changes`: the known servers changed."""
        if not self.is_active:
            self.established_at = now
            self.delivered_change = False
        self.delivered_change |= has_changes
        self.is_active = True
        self.called_at = inf
        self.call_pause = FIRST_PAUSE_S

    def failed(self, now: float, is_silent: bool, knows_servers: bool, fraction: float):
        """The watch ended or fell silent, or a call got no list.

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
            self.urgent_until = now + LIST_URGENT_AFTER_END_S
            self.next_call_at = (
                max(now, self.established_at + MIN_FIRST_LINE_TO_CALL_S) + CALL_SPREAD_S * fraction
            )
        self.is_active = False
        self.called_at = inf

    def ends_early_again(self, now: float) -> bool:
        """Counts an early end of the watch and tells whether watches have repeatedly ended early.

        A watch that delivered a change does not count: where servers are replaced one after the other, each
        change may end the watches.
        """
        if self.delivered_change or now >= self.established_at + HEARTBEAT_INTERVAL_S:
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
        """The longest mean pause; a drawn pause is 0.5 to 1.5 times the mean."""
        max_pause = MAX_PAUSE_WITHOUT_SERVERS_S
        if knows_servers:
            max_pause = (min(self.called_at, now) + MAX_CALL_INTERVAL_S - now) / 1.5
        return max(FIRST_PAUSE_S, min(max_pause, self.configured_max_pause))

    def moved(self, now: float):
        """The service has a new address and is called there at once."""
        self.is_active = False
        self.called_at = inf
        self.next_call_at = now
        self.urgent_until = now + LIST_URGENT_AFTER_MOVE_S
        self.forget_failures(now)
