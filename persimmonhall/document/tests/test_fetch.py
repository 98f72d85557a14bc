"""Test how a node fetches documents from the control VMs."""

import trio
from returns.pipeline import is_successful

from persimmonhall.address import Address
from persimmonhall.control.client import ControlClient
from persimmonhall.control.messages import REPLIES, Documents
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.link_server import serve_links

ANY_PORT = Address("127.0.0.1", 0)


async def test_unresponsive_control_vm_does_not_block_document_fetch():
    async def stay_silent(payload: bytes) -> bytes:
        await trio.sleep_forever()
        return b""

    async def reply(payload: bytes) -> bytes:
        return REPLIES.encode(Documents(3, (), current=True))

    async with trio.open_nursery() as nursery:
        addresses = [
            await nursery.start(serve_links, {Channel.CONTROL: handler}, ANY_PORT)
            for handler in (stay_silent, reply)
        ]
        client = ControlClient(LinkPool(nursery), tuple(addresses))
        results = [await client.fetch_documents(0) for _ in range(2)]
        nursery.cancel_scope.cancel()
    assert [is_successful(result) for result in results] == [True, True]
