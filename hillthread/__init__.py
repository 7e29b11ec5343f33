"""Routes language-model requests to targets that have cached their prompts.

The package is layered; a layer imports only layers listed before it:

* `hillthread.state`: state machines without input, output or a clock;
* `hillthread.protocol`: message types and their codecs;
* `hillthread.transport`: sockets, HTTP and websockets;
* `hillthread.coordination`: routing decisions and coordination of hosts;
* `hillthread.standin`, `hillthread.bench`: test doubles and benchmarks;
* `hillthread.programs`: the command lines.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
