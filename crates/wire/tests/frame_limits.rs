//! Malformed frames and streams fail with a clear error and do not affect other streams or connections.

use std::net::{Ipv4Addr, SocketAddr};

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use vanillacleat_wire::{
    decode_body, encode_frame, serve_connection, FrameBuffer, FrameReceiver, FrameSender, IncomingStream, WireConnection, WireError,
    FRAME_BYTES_MAX,
};

#[test]
fn frame_is_assembled_from_single_bytes() {
    let bytes = encode_frame(&("task", 7_u64)).unwrap();
    let mut buffer = FrameBuffer::default();
    for byte in &bytes[..bytes.len() - 1] {
        buffer.extend(&[*byte]);
        assert!(buffer.try_next::<(String, u64)>().unwrap().is_none());
    }
    buffer.extend(&bytes[bytes.len() - 1..]);
    assert_eq!(buffer.try_next::<(String, u64)>().unwrap(), Some(("task".to_owned(), 7)));
}

#[test]
fn oversized_length_is_rejected() {
    let mut buffer = FrameBuffer::default();
    buffer.extend(&(FRAME_BYTES_MAX as u32 + 1).to_be_bytes());
    assert!(matches!(buffer.try_next::<String>(), Err(WireError::Oversized(_))));
}

#[test]
fn oversized_frame_is_not_sent() {
    assert!(encode_frame(&"x".repeat(FRAME_BYTES_MAX + 1)).is_err());
}

#[rstest]
#[case::garbage(&[0xff; 32])]
#[case::empty(&[])]
#[case::trailing_bytes(&[1, b'a', 0, 0])]
#[case::length_beyond_body(&[0xfc, 0xff, 0xff, 0xff, 0x7f])]
fn malformed_bodies_are_rejected(#[case] body: &[u8]) {
    assert!(matches!(decode_body::<String>(body), Err(WireError::Undecodable(_))));
}

async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(socket, |stream| drop(tokio::spawn(echo_stream(stream)))));
        }
    });
    address
}

async fn echo_stream(stream: IncomingStream) {
    match stream {
        IncomingStream::Call(call) => {
            let read: Result<(String, FrameSender<String>), WireError> = call.receive().await;
            if let Ok((text, mut sender)) = read {
                let _ = sender.send_last(&format!("received {text}")).await;
            }
        }
        IncomingStream::Session(session) | IncomingStream::PeerSession(session) => {
            let (mut sender, mut receiver): (FrameSender<u64>, FrameReceiver<u64>) = session.open().unwrap();
            while let Ok(number) = receiver.receive().await {
                let _ = sender.send(&(number + 1)).await;
            }
        }
    }
}

#[tokio::test]
async fn malformed_peers_do_not_affect_other_connections() {
    let address = start_echo_server().await;
    let good = WireConnection::connect(address).await.unwrap();
    let (mut sender, mut receiver): (FrameSender<u64>, FrameReceiver<u64>) = good.open_session().await.unwrap();
    let mut garbage = TcpStream::connect(address).await.unwrap();
    garbage.write_all(&[0x47; 4_096]).await.unwrap();
    let mistyped = WireConnection::connect(address).await.unwrap();
    let rejected: Result<String, WireError> = mistyped.call(&vec![u64::MAX; 8]).await;
    assert!(rejected.is_err());
    sender.send(&41).await.unwrap();
    assert_eq!(receiver.receive().await.unwrap(), 42);
    let reply: String = good.call(&"text".to_owned()).await.unwrap();
    assert_eq!(reply, "received text");
}

#[tokio::test]
async fn large_frames_are_transferred() {
    let address = start_echo_server().await;
    let connection = WireConnection::connect(address).await.unwrap();
    let text = "y".repeat(3_000_000);
    let reply: String = connection.call(&text).await.unwrap();
    assert_eq!(reply.len(), text.len() + "received ".len());
}
