import sys

from cartdeal.benchlink.loop import serve
from cartdeal.benchlink.wire import Malformed

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except (Malformed, BrokenPipeError) as trouble:
    print(f"cartdeal: {trouble or 'nobody reads the answers'}", file=sys.stderr)
    sys.stderr.flush()
    sys.exit(2)
