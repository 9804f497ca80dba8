"""The catalogue of numbered events.

Hundreds stand for a matter: 1 process, 2 requests, 3 orders, 4 admission and
limits, 5 configuration and membership, 6 rollouts and leases, 7 platform and
peers. docs/EVENTS.md describes each one.
"""

import enum
import logging


class Event(enum.Enum):
    """A kind of event: its number, its level and its message."""

    PROCESS_STARTED = (101, logging.INFO, 'process started')
    PROCESS_READY = (102, logging.INFO, 'process ready')
    STOP_BEGUN = (103, logging.INFO, 'planned stop begun')
    STOP_FINISHED = (104, logging.INFO, 'planned stop finished')
    SETTINGS_RELOADED = (105, logging.INFO, 'settings read again')
    SETTINGS_REFUSED = (106, logging.ERROR, 'settings cannot be used')
    MACHINE_SUSPENDED = (107, logging.WARNING, 'process stood still')
    LOG_LINES_DROPPED = (109, logging.WARNING, 'log lines dropped')
    LISTEN_FAILED = (108, logging.ERROR, 'address cannot be served')

    REQUEST_ANSWERED = (201, logging.INFO, 'request answered')
    REQUEST_REFUSED = (202, logging.INFO, 'request refused')
    ATTEMPT_STARTED = (203, logging.DEBUG, 'attempt started')
    ATTEMPT_FAILED = (204, logging.WARNING, 'attempt failed')
    ANSWER_DISCARDED = (205, logging.WARNING, 'answer of another attempt')
    HANDLING_FAILED = (206, logging.ERROR, 'fault while handling a call')

    ANSWER_FORWARDED = (207, logging.INFO, 'answer passed on')
    REQUEST_NOT_SERVED = (208, logging.INFO, 'request turned away')
    CALL_REJECTED = (209, logging.INFO, 'call rejected')
    CALLER_LEFT = (210, logging.INFO, 'caller left')
    REQUEST_ASSIGNED = (211, logging.INFO, 'request placed')
    RESEND_REFUSED = (212, logging.INFO, 'no budget for another target')

    ORDER_CLAIMED = (301, logging.INFO, 'order claimed')
    ORDER_DONE = (302, logging.INFO, 'order done')
    ORDER_RELEASED = (303, logging.INFO, 'claim of order released')
    ORDER_IN_DOUBT = (304, logging.WARNING, 'outcome of order unknown')
    ORDER_REPEATED = (305, logging.INFO, 'repeat of order')
    CLAIM_FAILED = (306, logging.WARNING, 'claim of order failed')
    OUTCOME_NOT_RECORDED = (307, logging.WARNING, 'outcome not recorded yet')
    SLICE_NOT_WRITTEN = (308, logging.INFO, 'slice of the ledger not written')
    SLICE_COMPACTED = (309, logging.INFO, 'slice of the ledger compacted')
    SLICE_OWNER_UNREACHABLE = (310, logging.WARNING, 'slice owner unreachable')

    REQUEST_QUEUED = (401, logging.DEBUG, 'request queued')
    ARBITER_CONNECTED = (402, logging.INFO, 'arbiter connected')
    ARBITER_LOST = (403, logging.WARNING, 'arbiter lost')
    GRANT_REVOKED = (404, logging.INFO, 'grant revoked')
    ARBITRATION_BEGUN = (405, logging.INFO, 'arbitration of a pool begun')
    GRANTS_RECLAIMED = (406, logging.WARNING, 'grants of a holder reclaimed')

    CONFIGURATION_IN_FORCE = (501, logging.INFO, 'configuration in force')

    CONFIGURATION_REFUSED = (502, logging.ERROR, 'configuration refused')
    CONFIGURATION_REPORTED = (503, logging.INFO, 'site status written')
    INSTANCES_CHANGED = (510, logging.INFO, 'live instances changed')
    INCARNATION_RAISED = (511, logging.WARNING, 'own name used by another')
    TABLE_IN_FORCE = (512, logging.INFO, 'routing table in force')
    OBJECT_UNREADABLE = (513, logging.WARNING, 'stored object unreadable')
    TARGETS_CHANGED = (514, logging.INFO, 'targets changed')
    TARGET_LEAVING = (520, logging.INFO, 'target leaves')
    TARGET_BACKED_OFF = (521, logging.WARNING, 'target held back')
    TARGET_LIMIT_LOWERED = (522, logging.INFO, 'limit of a target lowered')

    ROLLOUT_MOVED = (601, logging.INFO, 'rollout moved')
    REGRESSION_FOUND = (602, logging.WARNING, 'version found bad here')
    REGRESSION_REPORTED = (603, logging.WARNING, 'version found bad elsewhere')
    ROLLOUT_WRITE_FAILED = (604, logging.WARNING, 'rollout not written')
    LEASE_HELD = (605, logging.INFO, 'control lease held')
    LEASE_LOST = (606, logging.INFO, 'control lease given up or lost')
    TARGET_ORDER_SUCCEEDED = (607, logging.INFO, 'target took an order')
    TARGET_ORDER_FAILED = (608, logging.WARNING, 'order to target failed')
    ROLLOUT_UNREADABLE = (609, logging.ERROR, 'stored rollout unreadable')
    VERSION_EVALUATED = (611, logging.INFO, 'move to a version judged')
    REGRESSION_SUSPECTED = (610, logging.WARNING, 'version suspected here')

    PLATFORM_UNREACHABLE = (701, logging.WARNING, 'platform unreachable')
    PLATFORM_REACHABLE = (702, logging.INFO, 'platform reachable')
    PEER_UNREACHABLE = (703, logging.WARNING, 'peer unreachable')
    PEER_REACHABLE = (704, logging.INFO, 'peer reachable')
    WATCH_LOST = (706, logging.WARNING, 'watch of the store lost')
    WATCH_REGAINED = (707, logging.INFO, 'watch of the store regained')
    SNAPSHOT_LOADED = (708, logging.INFO, 'state taken from a peer')
    MESSAGE_UNREADABLE = (709, logging.WARNING, 'message of a peer unreadable')
    ARBITER_CHOSEN = (711, logging.INFO, 'arbiter chosen')
    MESSAGE_NOT_SENT = (713, logging.WARNING, 'message to a peer not sent')
    CLIENT_DROPPED = (712, logging.WARNING, 'places of a silent peer freed')
    REGISTRATION_FAILED = (710, logging.WARNING, 'instance not registered')
    TOPIC_UNREADABLE = (705, logging.WARNING, 'state of a topic unreadable')

    def __init__(self, number: int, level: int, message: str) -> None:
        self.number = number
        self.level = level
        self.message = message
