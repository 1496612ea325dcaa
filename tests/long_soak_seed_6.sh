#!/bin/sh
# The soak that sent an attempt for a client that had gone. Its timing is the machine's: it may pass.
cd "$(dirname "$0")/.." || exit 2
exec python -m cartdeal soak --seed 6 --agents 24 --seconds 30
