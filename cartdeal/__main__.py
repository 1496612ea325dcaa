"""`python -m cartdeal` starts an agent; with words behind it, it is the command line."""

import signal
import sys

if __name__ == "__main__" and len(sys.argv) == 1:
    # One that is told to end while it imports ends in order: `main` handles what is held back here.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from cartdeal.agent.start import main  # noqa: E402

if __name__ == "__main__":
    if len(sys.argv) > 1:
        # Needs the laboratory's requirements; an agent is started without words.
        from cartdeal import cli

        cli.main(prog_name="cartdeal")
    sys.exit(main())
