"""Deliberately broken routers: the checker must find each of them out."""

import os
import sys

from hillthread import errors
from hillthread.coordination import attempt_checks
from hillthread.coordination import exchange
from hillthread.coordination import forwarder
from hillthread.coordination import stream_progress
from hillthread.coordination import whole_relay
from hillthread.programs import router

VARIABLE = "HILLTHREAD_MUTANT"


def retry_ignores_the_mark():
    forwarder._surely_not_run = lambda _: True


def terminal_marker_not_checked():
    class Progress(stream_progress.StreamProgress):
        done = property(lambda self: self.next_index > 2, lambda *_: None)

    stream_progress.StreamProgress = Progress


def crossed_answers_accepted():
    attempt_checks.HeadChecker._check_identity = lambda *_: None
    whole_relay.WholeRelay._check_whole = lambda *_: None
    accept = stream_progress.StreamProgress.accept

    def accept_any(self, event):
        attempt_id, self.attempt_id = self.attempt_id, b""
        relayed = accept(self, event)
        self.attempt_id = attempt_id
        return relayed

    stream_progress.StreamProgress.accept = accept_any


def always_says_not_run():
    exchange.Exchange.run_state = lambda _: errors.RunState.NOT_RUN


def gaps_accepted():
    def relay(self, index):
        self.next_index = index + 1
        return b""

    stream_progress.StreamProgress._handle_out_of_order = relay


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        retry_ignores_the_mark,
        terminal_marker_not_checked,
        crossed_answers_accepted,
        always_says_not_run,
        gaps_accepted,
    )
}

if __name__ == "__main__":
    MUTANTS[os.environ[VARIABLE]]()
    sys.exit(router.main())
