use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddr},
};

use bytes::Bytes;
use futures::StreamExt;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Visitor};
use snafu::ResultExt;
use tarpc::{
    client::Config,
    context,
    serde_transport::{Transport, new},
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Decoder, LengthDelimitedCodec},
};
use tokio::net::{TcpListener, TcpStream};

use super::{IoSnafu, RpcSnafu, TransportError};

#[tarpc::service]
trait Echo {
    async fn echo(body: Body) -> Body;
}

#[derive(Clone)]
struct Server;

impl Echo for Server {
    async fn echo(self, _: context::Context, body: Body) -> Body {
        body
    }
}

/// A body that is serialized as a byte string; serde would serialize a `Vec<u8>` element by element.
#[derive(Clone, Debug)]
struct Body(Bytes);

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Body, D::Error> {
        struct BodyVisitor;
        impl Visitor<'_> for BodyVisitor {
            type Value = Body;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E>(self, v: &[u8]) -> Result<Body, E> {
                Ok(Body(Bytes::copy_from_slice(v)))
            }

            fn visit_byte_buf<E>(self, v: Vec<u8>) -> Result<Body, E> {
                Ok(Body(Bytes::from(v)))
            }
        }
        deserializer.deserialize_byte_buf(BodyVisitor)
    }
}

/// Starts the echo server with tarpc's default limits.
pub(super) async fn listen() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(transport) = transport(stream) else { continue };
            let calls = BaseChannel::with_defaults(transport).execute(Server.serve());
            tokio::spawn(calls.for_each(|call| async {
                tokio::spawn(call);
            }));
        }
    });
    Ok(addr)
}

fn transport<Item, SinkItem>(
    stream: TcpStream,
) -> io::Result<Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    stream.set_nodelay(true)?;
    Ok(new(LengthDelimitedCodec::new().framed(stream), Bincode::default()))
}

#[derive(Clone)]
pub(super) struct Client(EchoClient);

impl Client {
    pub(super) async fn connect(addr: SocketAddr) -> Result<Client, TransportError> {
        let stream = TcpStream::connect(addr).await.context(IoSnafu)?;
        let transport = transport(stream).context(IoSnafu)?;
        Ok(Client(EchoClient::new(Config::default(), transport).spawn()))
    }

    pub(super) async fn call(&self, body: Bytes) -> Result<Bytes, TransportError> {
        let answer = self.0.echo(context::current(), Body(body)).await.context(RpcSnafu)?;
        Ok(answer.0)
    }
}
