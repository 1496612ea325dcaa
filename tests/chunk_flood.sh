#!/bin/sh
# Thousands of one-byte chunks from 328 clients, beside which usual clients get no answer. Exits with 1 if so.
cd "$(dirname "$0")/.." || exit 2
exec python -m tests.chunk_flood
