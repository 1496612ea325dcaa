"""Runs the adapter on standard input and standard output."""

import sys

from cartdeal.benchlink.loop import serve
from cartdeal.benchlink.wire import MalformedMessageError

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except (MalformedMessageError, BrokenPipeError) as error:
    print(f"cartdeal: {error or 'the reader of the output has closed it'}", file=sys.stderr)
    sys.stderr.flush()
    sys.exit(2)
