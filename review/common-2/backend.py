"""A sound stand-in backend, which records each run.

It beats to the control address of its machine, echoes `X-Attempt-Id`, signs
what it answers, rejects what is meant for another instance, and serves one
request at a time on a connection.
"""

import asyncio
import hashlib
import json
import time

from fleet import APP, CONTROL, fetch


class Backend:
    """One incarnation after the other of the backend of a machine."""

    def __init__(self, machine, record, slots=12):
        self.machine = machine
        self.record = record
        self.slots = slots
        self.id = ''
        self.born = 0
        self.sequence = 0
        self.state = 'ready'
        self.running = 0
        self.runs = []
        self.server = None
        self.beats = None
        self.count = 0
        self.writers = set()
        #: Called with (backend, method, target, headers, body, writer); returns
        #: True if it has answered itself.
        self.behaviour = None

    async def start(self, same_id=False):
        if not same_id or not self.id:
            self.count += 1
            self.id = f'i-{self.machine.name}-{self.count}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.server = await asyncio.start_server(
            self._serve, self.machine.ip, APP, reuse_address=True,
            limit=1 << 20,
        )
        self.beats = asyncio.create_task(self._beat_forever())

    async def crash(self):
        """Ends at once: connections are reset, and nothing is said."""
        self.beats.cancel()
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def beat(self, state=None, born=None, sequence=None, identity=None):
        self.sequence += 1
        body = {
            'Service': self.machine.service,
            'Address': f'{self.machine.ip}:{APP}',
            'Zone': self.machine.zone, 'Version': 'v1', 'Slots': self.slots,
            'State': state or self.state, 'ColdRemainingS': 0,
            'Sequence': sequence or self.sequence, 'born': born or self.born,
        }
        return await fetch(
            self.machine.ip, CONTROL, 'PUT',
            f'/-/instances/{identity or self.id}',
            {'Content-Type': 'application/json'},
            json.dumps(body).encode(), 1.0,
        )

    async def leave(self):
        return await fetch(
            self.machine.ip, CONTROL, 'DELETE', f'/-/instances/{self.id}',
            timeout_s=1.0,
        )

    async def _beat_forever(self):
        while True:
            try:
                await self.beat()
            except (OSError, EOFError, TimeoutError, ValueError):
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(self.machine.fleet.heartbeat_s)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError) as error:
            self.record(f'backend {self.id}: connection ended: {error!r}')
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode('latin-1').split()
        headers = []
        while (line := await reader.readline()) not in (b'\r\n', b'\n'):
            if not line:
                return False
            name, _, text = line.decode('latin-1').partition(':')
            headers.append((name.strip().lower(), text.strip()))
        found = dict(headers)
        body = await self._read_body(reader, found)
        if target == '/health':
            await self.answer(writer, 200, [('X-Instance-Id', self.id)], b'')
            return True
        expected = found.get('x-expected-instance')
        if expected and expected != self.id:
            self.record(f'backend {self.id}: 421 for {found.get("x-attempt-id")}')
            await self.answer(
                writer, 421, [('X-Instance-Id', self.id), ('X-Attempt-Id', found.get('x-attempt-id', ''))], b'',
            )
            return True
        return await self.run(method, target, found, body, writer)

    async def _read_body(self, reader, found):
        if 'chunked' in found.get('transfer-encoding', ''):
            body = b''
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                piece = await reader.readexactly(size + 2) if size else b''
                if not size:
                    while (await reader.readline()) not in (b'\r\n', b'\n', b''):
                        pass
                    return body
                body += piece[:-2]
        return await reader.readexactly(int(found.get('content-length', 0)))

    async def run(self, method, target, found, body, writer):
        attempt = found.get('x-attempt-id', '')
        now = time.monotonic()
        self.runs.append((now, attempt, method, target, body, found))
        digest = hashlib.sha256(body).hexdigest()[:12]
        self.record(
            f'backend {self.id}: runs {attempt} {method} {target} body '
            f'{len(body)} {digest} caller {found.get("x-caller-service")} '
            f'deadline {found.get("x-deadline-ms")}',
        )
        self.running += 1
        try:
            if self.behaviour is not None:
                done = await self.behaviour(self, method, target, found, body, writer)
                if done is not None:
                    return done
            await self.answer_run(writer, attempt, f'{attempt} {digest}\n'.encode())
        finally:
            self.running -= 1
        return True

    async def answer_run(self, writer, attempt, body, status=200, extra=()):
        headers = [
            ('X-Attempt-Id', attempt),
            ('X-Response-Signature', f'sig.{self.id}.{attempt}'),
            ('X-Backend-Load', f'{self.running},0,{self.slots}'),
            *extra,
        ]
        await self.answer(writer, status, headers, body)

    async def answer(self, writer, status, headers, body):
        head = [f'HTTP/1.1 {status} X']
        head += [f'{name}: {text}' for name, text in headers]
        head.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(head).encode('latin-1') + b'\r\n\r\n' + body)
        await writer.drain()
