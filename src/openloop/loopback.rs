use std::{fmt, net::SocketAddr, str::FromStr};

use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

/// An address on this machine. Load goes nowhere else, so that a mistyped address harms nobody.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(transparent)]
pub struct Loopback(SocketAddr);

/// An address that is refused.
#[derive(Debug, Snafu)]
pub enum LoopbackError {
    /// The text is no address with a port.
    #[snafu(display("{text} is not an address with a port"))]
    Syntax {
        /// The text.
        text: String,
        /// The cause.
        source: std::net::AddrParseError,
    },
    /// The address belongs to another machine.
    #[snafu(display("{addr} is not a loopback address"))]
    Remote {
        /// The address.
        addr: SocketAddr,
    },
}

impl Loopback {
    /// Returns the socket address.
    pub fn addr(self) -> SocketAddr {
        self.0
    }
}

impl TryFrom<SocketAddr> for Loopback {
    type Error = LoopbackError;

    fn try_from(addr: SocketAddr) -> Result<Loopback, LoopbackError> {
        ensure!(addr.ip().to_canonical().is_loopback(), RemoteSnafu { addr });
        Ok(Loopback(addr))
    }
}

impl FromStr for Loopback {
    type Err = LoopbackError;

    fn from_str(text: &str) -> Result<Loopback, LoopbackError> {
        text.parse::<SocketAddr>().context(SyntaxSnafu { text })?.try_into()
    }
}

impl fmt::Display for Loopback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
