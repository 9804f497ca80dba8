"""Starts the processes of the system with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import shlex
import signal
import socket
import tomllib

import messages

ROOT = pathlib.Path(__file__).resolve().parents[1]
START_TIMEOUT_S = 30.0
FIRST_PORT = 11_000
LAST_PORT = 30_000
PORTS = {'front': 0, 'ready': 1, 'peers': 2, 'metrics': 3}
GRACE_S = 8
SETTINGS = """[instance]
name = {name}
data_center = {zone}

[listen]
callers_address = {ip}:{front}
ready_address = {ip}:{ready}
peers_address = {ip}:{peers}
metrics_address = {ip}:{metrics}

[platform]
address = {store}

[peers]
seeds = {seeds}

[stop]
grace_s = {grace_s}

[retry]
ratio = 0.2
slack_requests = 58
window_s = 10

[quota]
window_s = 8
overage = 0.1
slack_tokens = 140000

[machine]
processor_share = 0.537
processor_speed = 2
"""


def machine_ips(count):
    """Return a loopback address for each machine."""
    return [f'127.0.0.{11 + number}' for number in range(count)]


def free_ports(ips):
    """Return ports that are free on all machines, by their purpose."""
    first = FIRST_PORT + os.getpid() * 8 % (LAST_PORT - FIRST_PORT)
    for base in (*range(first, LAST_PORT, 8), *range(FIRST_PORT, first, 8)):
        ports = {name: base + n for name, n in PORTS.items()}
        if all(_is_free(ip, port) for ip in ips for port in ports.values()):
            return ports
    raise OSError('no free ports')


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


class Machine:
    """One machine of the system, and the platform's view of it.

    Attributes:
        name: its name.
        link: how it reaches the store.
        running_since_s: when its process was ready, on the loop's clock.
        in_rotation: whether the platform sends it new channels.
    """

    def __init__(self, name, ip, ports, seeds, link, directory, zone='zac-a'):
        self.name = name
        self.ip = ip
        self.link = link
        self.running_since_s = 0.0
        self.in_rotation = True
        self._misses = 0
        self._ports = ports
        self._process = None
        self._settings = directory / f'{name}.ini'
        self._log = directory / f'{name}.log'
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ip=ip,
                store=link.address,
                seeds=','.join(f'{seed}:1' for seed in seeds),
                grace_s=GRACE_S,
                **ports,
            ),
            'utf-8',
        )

    async def start(self):
        """Start the process and wait until it is ready."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'WIGEONFALL_CONFIG': str(self._settings),
        }
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.says_ready():
                if self._process.returncode is not None:
                    raise OSError(f'{self.name} ended: {self.log_text()}')
                await asyncio.sleep(0.05)
        self.running_since_s = asyncio.get_running_loop().time()
        self.in_rotation = True
        self._misses = 0

    def send_signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    @property
    def front_address(self):
        """Host and port for requesters."""
        return self.ip, self._ports['front']

    @property
    def ended(self):
        """Whether the process has ended."""
        return self._process.returncode is not None

    async def wait_end(self):
        """Wait for the end of the process."""
        await self._process.wait()

    async def kill(self):
        """End the process at once, if it runs."""
        if self._process is not None and not self.ended:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def connect(self, port='front', limit=1 << 22):
        """Open a channel to the process."""
        return await asyncio.open_connection(
            self.ip, self._ports[port], limit=limit
        )

    async def says_ready(self):
        """Return whether it answers GET /api/ready with 200 in a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await self.connect('ready')
                try:
                    writer.write(
                        messages.encode(
                            'GET /api/ready HTTP/1.1', {'Host': 'x'}
                        )
                    )
                    answer = await messages.read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def watch_ready(self):
        """Take it out of rotation after two misses, as the platform does."""
        while True:
            await asyncio.sleep(1.0)
            if await self.says_ready():
                self._misses = 0
            else:
                self._misses += 1
            self.in_rotation = self._misses < 2

    def log_text(self):
        """Return what the process wrote."""
        return self._log.read_text('utf-8', 'replace')
