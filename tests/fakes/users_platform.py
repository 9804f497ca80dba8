"""Instances as processes, started as on the users' platform."""

import asyncio
import contextlib
import json
import os
import pathlib
import sys

from tests.fakes.forwarding import read_answer
from tests.fakes.ports import free_ports

ROOT = pathlib.Path(__file__).parent.parent.parent
START_TIMEOUT_S = 30
TEMPLATE = """[instance]
name = {name}
data_center = {data_center}
[listen]
callers_address = 127.0.0.1:{callers}
ready_address = 127.0.0.1:{ready}
peers_address = {peers_host}:{peers}
metrics_address = 127.0.0.1:{metrics}
[platform]
address = {store}
[stop]
grace_s = 8
settle_s = 1
[retry]
ratio = {ratio}
slack_requests = 50
[peers]
seeds = {seeds}
[machine]
memory_mb = {memory_mb}
descriptors = {descriptors}
{more}
"""
REQUEST = (
    b'GET /r/x HTTP/1.1\r\nHost: meat.example\r\n'
    b'X-Wigeonfall-Request-Id: %s\r\n\r\n'
)


class Instance:
    """One instance in a process of its own."""

    def __init__(self, directory, store, name='i1', seeds='127.0.0.1:1'):
        names = ('callers', 'ready', 'peers', 'metrics')
        self.name = name
        self.data_center = 'z'
        self.peers_host = '127.0.0.1'
        self.ports = dict(zip(names, free_ports(4), strict=True))
        self.store = store
        self.seeds = seeds
        self.path = directory / f'{name}.ini'
        self.log = directory / f'{name}.log'
        self.output = None  # file for its output, instead of the log
        self.process = None
        self.machine = {'memory_mb': 150, 'descriptors': 4096}
        self.more = ''  # further sections of the settings
        self.write_settings()

    def write_settings(self, ratio=0.2):
        text = TEMPLATE.format(
            name=self.name,
            data_center=self.data_center,
            peers_host=self.peers_host,
            store=self.store.address,
            seeds=self.seeds,
            ratio=ratio,
            more=self.more,
            **self.machine,
            **self.ports,
        )
        self.path.write_text(text, 'utf-8')

    async def __aenter__(self):
        with contextlib.ExitStack() as stack:
            output = self.output
            if output is None:
                output = stack.enter_context(self.log.open('ab'))
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                'platform/run.py',
                cwd=ROOT,
                env=os.environ | {'WIGEONFALL_CONFIG': str(self.path)},
                stdout=output,
                stderr=output,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.page('ready', '/api/ready') != 200:
                await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *_exc):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def page(self, port, path):
        try:
            reader, writer = await self.connect(port)
        except OSError:
            return 0
        writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        try:
            return (await read_answer(reader))[0]
        finally:
            writer.close()

    async def connect(self, port='callers'):
        return await asyncio.open_connection('127.0.0.1', self.ports[port])

    async def ask(self, number):
        reader, writer = await self.connect()
        writer.write(REQUEST % str(number).encode())
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    def events(self):
        """Return the events in its log, but for lines that a kill cut off."""
        events = []
        for line in self.log.read_text('utf-8').splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                events.append(json.loads(line))
        return [event for event in events if isinstance(event, dict)]
