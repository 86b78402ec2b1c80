use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http2::{SendRequest, handshake},
    server::conn::http2::Builder,
    service::service_fn,
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};

use super::{Http2Snafu, IoSnafu, TransportError};

/// Starts the echo server with hyper's default windows and frame size.
pub(super) async fn listen() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            let service = service_fn(echo);
            let conn = Builder::new(TokioExecutor::new());
            tokio::spawn(conn.serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(addr)
}

async fn echo(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let body = request.into_body().collect().await?.to_bytes();
    Ok(Response::new(Full::new(body)))
}

#[derive(Clone)]
pub(super) struct Client(SendRequest<Full<Bytes>>);

impl Client {
    pub(super) async fn connect(addr: SocketAddr) -> Result<Client, TransportError> {
        let stream = TcpStream::connect(addr).await.context(IoSnafu)?;
        stream.set_nodelay(true).context(IoSnafu)?;
        let (client, conn) =
            handshake(TokioExecutor::new(), TokioIo::new(stream)).await.context(Http2Snafu)?;
        tokio::spawn(conn);
        Ok(Client(client))
    }

    pub(super) async fn call(&self, body: Bytes) -> Result<Bytes, TransportError> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static("http://catalogue/item");
        let answer = self.0.clone().send_request(request).await.context(Http2Snafu)?;
        Ok(answer.into_body().collect().await.context(Http2Snafu)?.to_bytes())
    }
}
