#!/bin/sh
# Half chunked bodies of 330 clients, which take an agent with 32 MB over its limit. Exits with 1 if they do.
cd "$(dirname "$0")/.." || exit 2
exec python -m tests.half_chunked_bodies
