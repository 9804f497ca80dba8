"""Export and import of KV cache between engine stand-ins."""

import asyncio

import urllib3

from . import http_server
from . import prefix_cache


class KvBlobs:
    """The exported prefixes of one engine."""

    def __init__(self, cache: prefix_cache.PrefixCache, name: str) -> None:
        self._cache = cache
        self._name = name
        self._blobs: dict[str, tuple[int, ...]] = {}

    async def handle(
        self,
        request: http_server.Request,
        to: http_server.Responder,
        tokens_per_s: float,
    ) -> None:
        """Answer a request below /kv/."""
        if request.path == '/kv/export':
            await self._export(request, to)
        elif request.path == '/kv/import':
            await self._import(request, to, tokens_per_s)
        else:
            blob = self._blobs.get(request.path.rpartition('/')[2], ())
            await to.send_json(200, {'hashes': blob})

    async def _export(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        hashes = tuple(request.json()['prefix_hashes'])
        held = hashes[: self._cache.match(hashes)]
        blob_id = f'{self._name}-{len(self._blobs)}'
        self._blobs[blob_id] = held
        tokens = len(held) * prefix_cache.BLOCK_TOKENS
        await to.send_json(200, {'blob_id': blob_id, 'tokens': tokens})

    async def _import(
        self,
        request: http_server.Request,
        to: http_server.Responder,
        tokens_per_s: float,
    ) -> None:
        value = request.json()
        url = f'http://{value["source"]}/kv/blobs/{value["blob_id"]}'
        try:
            blob = await asyncio.to_thread(urllib3.request, 'GET', url)
        except urllib3.exceptions.HTTPError:
            await to.send_json(502, {'message': 'the source is away'})
            return
        hashes = blob.json()['hashes']
        tokens = len(hashes) * prefix_cache.BLOCK_TOKENS
        await asyncio.sleep(tokens / tokens_per_s)
        for block_hash in hashes:
            self._cache.store(block_hash)
        await to.send_json(200, {'tokens': tokens})
