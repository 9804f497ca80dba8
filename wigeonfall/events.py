"""The numbered events that processes record and log.

The hundreds digit of a number gives the subject: 1 process, 2 requests,
3 orders, 4 admission and limits, 5 configuration and membership, 6 rollouts
and leases, 7 platform and peers. docs/EVENTS.md describes each event.
"""

import enum
import logging


class Event(enum.Enum):
    """A kind of event: its number, log level and message."""

    PROCESS_STARTED = (101, logging.INFO, 'process started')
    PROCESS_READY = (102, logging.INFO, 'process ready')
    STOP_BEGUN = (103, logging.INFO, 'graceful shutdown started')
    STOP_FINISHED = (104, logging.INFO, 'graceful shutdown finished')
    SETTINGS_RELOADED = (105, logging.INFO, 'settings reloaded')
    SETTINGS_REFUSED = (106, logging.ERROR, 'settings invalid')
    MACHINE_SUSPENDED = (107, logging.WARNING, 'machine was suspended')
    LOG_LINES_DROPPED = (109, logging.WARNING, 'log lines dropped')
    TASK_FAILED = (110, logging.ERROR, 'background task failed')
    PAGE_FAILED = (111, logging.ERROR, 'internal page failed')
    LISTEN_FAILED = (108, logging.ERROR, 'cannot listen on address')

    REQUEST_ANSWERED = (201, logging.INFO, 'request answered')
    REQUEST_REFUSED = (202, logging.INFO, 'request refused')
    ATTEMPT_STARTED = (203, logging.DEBUG, 'attempt started')
    ATTEMPT_FAILED = (204, logging.WARNING, 'attempt failed')
    ANSWER_DISCARDED = (205, logging.WARNING, 'answer for another attempt')
    HANDLING_FAILED = (206, logging.ERROR, 'unexpected error in a call')

    ANSWER_FORWARDED = (207, logging.INFO, 'answer forwarded')
    REQUEST_NOT_SERVED = (208, logging.INFO, 'request not served')
    CALL_REJECTED = (209, logging.INFO, 'call rejected')
    CALLER_LEFT = (210, logging.INFO, 'caller disconnected')
    REQUEST_ASSIGNED = (211, logging.INFO, 'request assigned to target')
    RESEND_REFUSED = (212, logging.INFO, 'resend budget exhausted')
    PART_QUARANTINED = (213, logging.WARNING, 'prompt part quarantined')
    PART_RELEASED = (214, logging.INFO, 'prompt part released')
    CALLER_CLOSED = (215, logging.INFO, 'caller closed for its memory')

    ORDER_CLAIMED = (301, logging.INFO, 'order claimed')
    ORDER_DONE = (302, logging.INFO, 'order done')
    ORDER_RELEASED = (303, logging.INFO, 'claim of order released')
    ORDER_IN_DOUBT = (304, logging.WARNING, 'outcome of order unknown')
    ORDER_REPEATED = (305, logging.INFO, 'repeated order')
    CLAIM_FAILED = (306, logging.WARNING, 'claim of order failed')
    OUTCOME_NOT_RECORDED = (
        307,
        logging.WARNING,
        'order outcome not stored yet',
    )
    SLICE_NOT_WRITTEN = (308, logging.INFO, 'ledger slice not written')
    SLICE_COMPACTED = (309, logging.INFO, 'ledger slice compacted')
    SLICE_OWNER_UNREACHABLE = (310, logging.WARNING, 'slice owner unreachable')

    REQUEST_QUEUED = (401, logging.DEBUG, 'request queued')
    ARBITER_CONNECTED = (402, logging.INFO, 'connected to arbiter')
    ARBITER_LOST = (403, logging.WARNING, 'connection to arbiter lost')
    GRANT_REVOKED = (404, logging.INFO, 'grant revoked')
    ARBITRATION_BEGUN = (405, logging.INFO, 'arbitration of a pool started')
    GRANTS_RECLAIMED = (406, logging.WARNING, 'grants of holder reclaimed')
    SHARES_CHANGED = (407, logging.INFO, 'shares of scarce room changed')

    CONFIGURATION_IN_FORCE = (501, logging.INFO, 'configuration in force')
    CONFIGURATION_REFUSED = (502, logging.ERROR, 'configuration refused')
    CONFIGURATION_REPORTED = (503, logging.INFO, 'data centre status written')
    INSTANCES_CHANGED = (510, logging.INFO, 'live instances changed')
    INCARNATION_RAISED = (511, logging.WARNING, 'instance name already in use')
    TABLE_IN_FORCE = (512, logging.INFO, 'routing table in force')
    OBJECT_UNREADABLE = (513, logging.WARNING, 'stored object unreadable')
    TARGETS_CHANGED = (514, logging.INFO, 'targets changed')
    TARGET_LEAVING = (520, logging.INFO, 'target is leaving')
    TARGET_BACKED_OFF = (521, logging.WARNING, 'target backed off')
    TARGET_LIMIT_LOWERED = (522, logging.INFO, 'concurrency limit lowered')
    TARGET_RATE_LIMITED = (523, logging.WARNING, 'target limits request rate')
    TARGET_RATE_UNLIMITED = (524, logging.INFO, 'target lifted rate limit')
    TARGET_PAUSED = (525, logging.INFO, 'target wants no requests for a time')
    TARGET_COLD = (530, logging.INFO, 'target is cold')
    TARGET_WARM = (531, logging.INFO, 'target is not cold any more')
    EVACUATION_BEGUN = (532, logging.WARNING, 'data centre evacuated')
    EVACUATION_LIFTED = (533, logging.INFO, 'data centre taken back')
    EVACUATION_DRAINED = (534, logging.INFO, 'evacuated data centre is empty')

    ROLLOUT_MOVED = (601, logging.INFO, 'rollout state changed')
    REGRESSION_FOUND = (602, logging.WARNING, 'regression found')
    REGRESSION_REPORTED = (603, logging.WARNING, 'regression reported by peer')
    ROLLOUT_WRITE_FAILED = (604, logging.WARNING, 'rollout not written')
    LEASE_HELD = (605, logging.INFO, 'control lease acquired')
    LEASE_LOST = (606, logging.INFO, 'control lease released or lost')
    TARGET_ORDER_SUCCEEDED = (607, logging.INFO, 'order to target succeeded')
    TARGET_ORDER_FAILED = (608, logging.WARNING, 'order to target failed')
    ROLLOUT_UNREADABLE = (609, logging.ERROR, 'stored rollout unreadable')
    VERSION_EVALUATED = (611, logging.INFO, 'new version evaluated')
    REQUESTS_MOVED = (612, logging.INFO, 'all requests go to new version')
    REGRESSION_SUSPECTED = (610, logging.WARNING, 'regression suspected')

    PLATFORM_UNREACHABLE = (701, logging.WARNING, 'platform unreachable')
    PLATFORM_REACHABLE = (702, logging.INFO, 'platform reachable')
    PEER_UNREACHABLE = (703, logging.WARNING, 'peer unreachable')
    PEER_REACHABLE = (704, logging.INFO, 'peer reachable')
    WATCH_LOST = (706, logging.WARNING, 'store watch lost')
    WATCH_REGAINED = (707, logging.INFO, 'store watch restored')
    SNAPSHOT_LOADED = (708, logging.INFO, 'snapshot loaded from peer')
    MESSAGE_UNREADABLE = (709, logging.WARNING, 'message from peer unreadable')
    ARBITER_CHOSEN = (711, logging.INFO, 'arbiter chosen')
    MESSAGE_NOT_SENT = (713, logging.WARNING, 'message to peer not sent')
    CLIENT_DROPPED = (712, logging.WARNING, 'slots of silent peer released')
    REGISTRATION_FAILED = (710, logging.WARNING, 'instance not registered')
    STORE_RESTORED = (714, logging.WARNING, 'store restored from older copy')
    OBJECTS_LOST = (715, logging.WARNING, 'objects lost by restored store')
    OBJECT_WRITTEN_AGAIN = (716, logging.INFO, 'lost object written again')
    VIEW_BEHIND = (717, logging.WARNING, 'behind peers')
    VIEW_CURRENT = (718, logging.INFO, 'caught up with peers')
    TOPIC_UNREADABLE = (705, logging.WARNING, 'topic state unreadable')

    def __init__(self, number: int, level: int, message: str) -> None:
        self.number = number
        self.level = level
        self.message = message
