"""Writes what was sent, answered and run to a file."""

import asyncio


class Record:
    """The record of one run of a case."""

    def __init__(self, path):
        self._file = path.open('w', encoding='utf-8')
        self._began_s = asyncio.get_running_loop().time()

    def time_s(self, at_s):
        """Return a time of the loop's clock as seconds of the run."""
        return at_s - self._began_s

    def add(self, what, **fields):
        """Add a line, and print it if it is about the run as a whole."""
        now_s = self.time_s(asyncio.get_running_loop().time())
        self.add_at(now_s, what, **fields)

    def add_at(self, time_s, what, **fields):
        """Add a line with a time."""
        words = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{time_s:8.3f} {what} {words}\n')
        self._file.flush()

    def add_attempt(self, attempt):
        """Add what a requester sent and what it got."""
        self.add_at(
            self.time_s(attempt.sent_s),
            'sent',
            id=attempt.id,
            route=attempt.route,
            machine=attempt.machine,
            outcome=attempt.outcome.replace(' ', '-'),
            status=attempt.status,
            after_s=f'{attempt.ended_s - attempt.sent_s:.3f}',
        )

    def add_runs(self, engine):
        """Add what an engine ran."""
        for run in engine.runs:
            self.add_at(
                self.time_s(run.at_s),
                'ran',
                id=run.id,
                route=run.route,
                engine=run.engine,
                outcome=run.outcome.replace(' ', '-'),
            )

    def say(self, text):
        """Add a line and print it."""
        self.add(text)
        print(text, flush=True)
