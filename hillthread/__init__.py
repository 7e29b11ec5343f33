"""hillthread routes language-model requests to targets whose prompt is warm.

The package is layered; a layer imports only those named before it:

* `hillthread.state`: pure state machines, no input or output, no clock;
* `hillthread.protocol`: message shapes and their codecs;
* `hillthread.transport`: sockets, HTTP and websockets, through libraries;
* `hillthread.coordination`: the decisions and how hosts act together;
* `hillthread.standin`, `hillthread.bench`: fakes and measurements;
* `hillthread.programs`: the command lines.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
