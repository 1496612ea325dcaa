"""`python -m cartdeal` starts an agent; with words behind it, it is the command line."""

import sys

from cartdeal.agent.start import main

if __name__ == "__main__":
    if len(sys.argv) > 1:
        # Needs the laboratory's requirements; an agent is started without words.
        from cartdeal import cli
        cli.main(prog_name="cartdeal")
    sys.exit(main())
