"""Clients that send hundreds of long requests at once, at full speed, and read what they are sent.

    python bad_clients.py PORT COUNT SECONDS
"""

import asyncio
import itertools
import sys

port, count, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
REQUESTS = 200
BODY = b"12 herons " * 6000  # 60,000 bytes; "Bodies hold at most 64 KiB"
numbers = itertools.count()


async def read_all(reader):
    while await reader.read(65536):
        pass


async def bad_client():
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        reading = asyncio.create_task(read_all(reader))
        try:
            for _ in range(REQUESTS):
                writer.write(
                    b"POST /day-close/x HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: bad-%d\r\n"
                    b"X-Timeout: 5000m\r\nContent-Length: %d\r\n\r\n" % (next(numbers), len(BODY)) + BODY
                )
                await writer.drain()
            await reading  # until the agent closes
        except OSError:
            pass
        finally:
            reading.cancel()
            writer.close()
        await asyncio.sleep(0.02)


async def main():
    tasks = [asyncio.create_task(bad_client()) for _ in range(count)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


asyncio.run(main())
