"""Admission control: asks the fleet about each request and turns its decision into an event of the reducer.

Owns the transport to the fleet's peers and the requests that wait for a decision. It never decides instead of
the fleet. If no decision arrives, it applies the fleet's own rule for unknown outcomes, or rejects the
request if the request leaves no record. Without a fleet this module is not imported.
"""

import hashlib
import logging
from math import inf
from time import monotonic

import gevent

from cartdeal.balancer_types import DeduplicationScope
from cartdeal.balancer_types import Idempotency as RequestIdempotency
from cartdeal.fleet import configuration as fleet_configuration
from cartdeal.fleet import idempotency
from cartdeal.fleet.effects import DeliverDecision
from cartdeal.fleet.errors import InvalidConfigurationError
from cartdeal.fleet.idempotency import AdmissionDecision, AdmissionRequest, Idempotency, RanOutcome
from cartdeal.fleet.node import Node
from cartdeal.fleet.transport import PeerTransport, TransportLimits
from cartdeal.settings import IDEMPOTENCY_BY_NAME, seconds
from cartdeal.supervision import supervise

FLEET_IDEMPOTENCY = {
    RequestIdempotency.IDEMPOTENT: Idempotency.IDEMPOTENT.value,
    RequestIdempotency.DEDUPLICATED: Idempotency.DEDUPLICATED.value,
    RequestIdempotency.NON_IDEMPOTENT: Idempotency.NON_IDEMPOTENT.value,
}
STATUS_BY_DECISION = {
    AdmissionDecision.RATE_LIMITED: 429,
    AdmissionDecision.REJECT: 503,
    AdmissionDecision.FAIL: 502,
}
DECISION_GRACE_S = 0.3  # how long after the fleet's wait_s a decision is overdue
OVERDUE_CHECK_INTERVAL_S = 0.1
HANDOVER_CHECK_INTERVAL_S = 0.02
FINAL_FLUSH_S = 0.15  # time limit for writing the last messages
# The agent allows one outgoing and one incoming stream for each 8 descriptors of its limit.
DESCRIPTORS_PER_STREAM = 8
# The share of the memory limit for messages queued for peers; partly received messages get as much again.
MEMORY_SHARE = 0.1

log = logging.getLogger("cartdeal.fleet")


class AdmissionControl:
    """The agent's interface to the fleet: a method for each effect of the reducer, and one for decisions."""

    def __init__(self, config, fleet, queue_event):
        """`queue_event(event, *args)` passes an event to the reducer. Raises BindError."""
        self.config, self.queue_event, self.listen_address = config, queue_event, fleet.listen
        stream_count, memory_mb = (
            config.limits.descriptors // DESCRIPTORS_PER_STREAM,
            MEMORY_SHARE * config.limits.memory_mb,
        )
        self.reserved_descriptors, self.reserved_memory_mb = 2 * stream_count + 2, 2 * memory_mb
        self.transport = PeerTransport(
            fleet.settings,
            fleet.listen,
            Node,
            self.on_decision,
            TransportLimits(stream_count, int(memory_mb * 1e6), int(memory_mb * 1e6)),
        )
        # By the request's number, which is its ticket in the fleet: the time (monotonic seconds) by which a
        # decision is due, and the request. In the order of the times.
        self.pending: dict[int, tuple[float, AdmissionRequest]] = {}
        settings = config.settings
        self.class_requirements = [
            (
                FLEET_IDEMPOTENCY[
                    IDEMPOTENCY_BY_NAME.get(each.idempotency, RequestIdempotency.NON_IDEMPOTENT)
                ],
                each.deduplication_scope or DeduplicationScope.CELL.value,
                seconds(each.deduplication_window_us),
                each.name,
            )
            for each in settings.request_classes
        ]
        max_record_s = fleet.settings.longest_mark_s
        # In seconds, by request class; the keys are values of the fleet's Idempotency.
        self.max_request_durations = tuple(
            {"i": inf, "d": max_record_s - window, "u": max_record_s}[fleet_idempotency]
            for fleet_idempotency, _, window, _ in self.class_requirements
        )
        self.effect_handlers = {
            "admit": self.admit,
            "attempt_sent": self.on_attempt_sent,
            "request_ended": self.on_request_ended,
        }

    def start(self):
        """Listen for peers, and return the background tasks."""
        self.transport.start()
        log.info(
            "in a fleet",
            extra={
                "fleet": self.transport.settings.fleet,
                "agent": self.transport.settings.name,
                "port": self.transport.port,
            },
        )
        return [gevent.spawn(supervise, self.check_overdue_decisions, log)]

    # Effects

    def admit(self, number: int, request, deadline: float):
        """Ask the fleet about a request; `deadline` in monotonic seconds."""
        now = monotonic()
        admission_request = self.admission_request(request, deadline - now)
        self.pending[number] = now + self.transport.settings.wait_s + DECISION_GRACE_S, admission_request
        self.transport.dispatch("request_admission", number, admission_request)

    def on_attempt_sent(self, number: int, zone: str, cell: int):
        """An attempt of an admitted request is being sent to a server of `zone` and `cell`."""
        self.transport.dispatch("on_attempt_sent", number, zone, cell)

    def on_request_ended(self, number: int, outcome: str):
        """A request is over; `outcome` is a value of RanOutcome."""
        self.pending.pop(number, None)
        self.transport.dispatch("on_request_ended", number, RanOutcome(outcome))

    def admission_request(self, request, remaining_s: float) -> AdmissionRequest:
        """Describe to the fleet a request that has `remaining_s` until its deadline."""
        fleet_idempotency, deduplication_scope, window, request_class = self.class_requirements[
            request.request_class
        ]
        if request.non_idempotent:
            fleet_idempotency, window = Idempotency.NON_IDEMPOTENT.value, 0.0
        if request.idempotency_key and fleet_idempotency == Idempotency.DEDUPLICATED:
            key = request.idempotency_key.decode()
        else:
            key = "" if fleet_idempotency == Idempotency.IDEMPOTENT else request_digest(request)
        return AdmissionRequest(
            # By name and not by index: requests without a tenant have index 0, and neither they nor those of
            # an unknown tenant may use up the first tenant's limit.
            tenant=request.tenant_name.decode("latin-1"),
            session=f"{request.session_hash:016x}" if request.session_hash else "",
            key=key,
            repeat=fleet_idempotency,
            group=deduplication_scope,
            window_s=window,
            limit_s=max(0.0, remaining_s),
            workload=request_class,
            retried=request.is_retry,
        )

    # The fleet's decision

    def on_decision(self, effect: DeliverDecision):
        """Pass a decision on to the reducer."""
        ticket = effect.ticket
        if self.pending.pop(ticket, None) is None:
            return  # it was answered, or its client disconnected, before the decision
        if effect.decision is AdmissionDecision.ADMIT:
            node = self.transport.node
            clock_offset_s = node.now - node.wall  # from the fleet's time to the agent's own
            self.queue_event(
                "on_admitted",
                ticket,
                tuple(
                    (zone, cell, group, until_ms / 1e3 + clock_offset_s)
                    for zone, cell, group, until_ms in effect.earlier_attempts
                ),
            )
        else:
            self.queue_event("on_declined", ticket, STATUS_BY_DECISION[effect.decision], effect.retry_after_s)

    def check_overdue_decisions(self):
        """Decide requests whose decision is overdue because a fault kept the fleet from deciding in time."""
        while True:
            gevent.sleep(OVERDUE_CHECK_INTERVAL_S)
            now, fleet_settings = monotonic(), self.transport.settings
            overdue = [
                (number, request) for number, (deadline, request) in self.pending.items() if deadline < now
            ]
            for number, request in overdue:
                log.warning("fleet decision overdue", extra={"request_class": request.workload})
                decision = (
                    idempotency.decide_unknown(request, fleet_settings.on_doubt, fleet_settings.clients_mark)
                    if request.leaves_record
                    else AdmissionDecision.REJECT
                )
                self.on_decision(DeliverDecision(number, decision))

    # The agent's lifecycle

    def reload(self):
        """Apply the changes of the fleet's file; an invalid file changes nothing."""
        try:
            fleet_file = fleet_configuration.read(self.config)
        except InvalidConfigurationError as error:
            log.error("fleet file refused", extra={"reason": str(error)})
            return
        transport, new_settings = self.transport, fleet_file.settings
        settings, changed_keys = fleet_configuration.merge_reloadable(transport.settings, new_settings)
        changed_keys = [key for key in changed_keys if key != "address" or fleet_file.listen[1]]
        changed_keys += ["listen"] * (fleet_file.listen != self.listen_address)
        transport.settings = settings
        transport.dispatch("apply_settings", settings)
        log.info("fleet file read", extra={"needs_restart": " ".join(changed_keys)})

    def begin_handover(self):
        """Begin to hand over the records and leases of this agent."""
        self.transport.dispatch("begin_shutdown")

    def leave_fleet(self, until: float):
        """Wait for the handover, but not beyond `until` (monotonic seconds), and leave the fleet."""
        while not self.transport.node.is_handed_over and monotonic() < until:
            gevent.sleep(HANDOVER_CHECK_INTERVAL_S)
        self.transport.dispatch("finish_shutdown")
        self.transport.flush(monotonic() + FINAL_FLUSH_S)
        log.info(
            "out of the fleet",
            extra={"handed_over": self.transport.node.is_handed_over, "unsent": self.transport.queued_bytes},
        )

    def stop(self):
        """Close all sockets."""
        self.transport.stop()


def request_digest(request) -> str:
    """Return a hex digest of the request's method, path and body.

    The X-Request-ID is left out because it differs in every retry.
    """
    hasher = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.path, request.body):
        hasher.update(len(part).to_bytes(4, "big") + part)
    return hasher.hexdigest()
