use std::{fmt, net::SocketAddr, str::FromStr};

use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

/// A socket address on a loopback interface. Load is sent only to such addresses, so that a mistyped address
/// cannot overload another system.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(transparent)]
pub struct LoopbackAddr(SocketAddr);

/// An address that is not accepted.
#[derive(Debug, Snafu)]
pub enum LoopbackError {
    /// The text is not an address with a port.
    #[snafu(display("{text} is not an address with a port"))]
    Syntax {
        /// The text.
        text: String,
        /// The cause.
        source: std::net::AddrParseError,
    },
    /// The address is not a loopback address.
    #[snafu(display("{addr} is not a loopback address"))]
    Remote {
        /// The address.
        addr: SocketAddr,
    },
}

impl LoopbackAddr {
    /// Returns the socket address.
    pub fn addr(self) -> SocketAddr {
        self.0
    }
}

impl TryFrom<SocketAddr> for LoopbackAddr {
    type Error = LoopbackError;

    fn try_from(addr: SocketAddr) -> Result<LoopbackAddr, LoopbackError> {
        ensure!(addr.ip().to_canonical().is_loopback(), RemoteSnafu { addr });
        Ok(LoopbackAddr(addr))
    }
}

impl FromStr for LoopbackAddr {
    type Err = LoopbackError;

    fn from_str(text: &str) -> Result<LoopbackAddr, LoopbackError> {
        text.parse::<SocketAddr>().context(SyntaxSnafu { text })?.try_into()
    }
}

impl fmt::Display for LoopbackAddr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
