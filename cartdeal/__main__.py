"""`python -m cartdeal` starts an agent; with arguments, it runs the command line."""

import signal
import sys

if __name__ == "__main__" and len(sys.argv) == 1:
    # A signal that arrives during the imports is held back until `main` can handle it: the agent then shuts
    # down in order instead of being killed.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from cartdeal.agent.start import main  # noqa: E402

if __name__ == "__main__":
    if len(sys.argv) > 1:
        # The command line needs the lab's dependencies; starting an agent, without arguments, does not.
        from cartdeal import cli

        cli.main(prog_name="cartdeal")
    sys.exit(main())
