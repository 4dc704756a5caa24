//! Invalid input to the HTTP endpoints is rejected with a specific error and does not affect other work.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use rstest::rstest;
use serde_json::{json, Value};
use vanillacleat_cli::deployment::{DeploymentOptions, LocalDeployment};

const VALID_JOB: &str = r#"{"service":"readings","team":"councils","tasks":[{"payload":"{\"id\":\"a\",\"run_ms\":1}"}]}"#;

struct ApiFixture {
    deployment: LocalDeployment,
    http: reqwest::Client,
    ticket: String,
}

fn start_fixture() -> ApiFixture {
    let deployment = LocalDeployment::start(&DeploymentOptions { entries: 1, agents: 1, ..DeploymentOptions::default() }).unwrap();
    let http = reqwest::Client::new();
    let url = format!("http://{}/v1/tickets?count=1", deployment.entry_addresses[0]);
    let tickets: Value = deployment.runtime.block_on(async { http.post(url).send().await.unwrap().json().await.unwrap() });
    let ticket = tickets["tickets"][0].as_str().unwrap().to_owned();
    ApiFixture { deployment, http, ticket }
}

impl ApiFixture {
    fn call(&self, method: &str, path: &str, body: String) -> (u16, Value) {
        let url = format!("http://{}{path}", self.deployment.entry_addresses[0]);
        let request = self.http.request(method.parse().unwrap(), url).header("content-type", "application/json").body(body);
        self.deployment.runtime.block_on(async {
            let response = request.send().await.unwrap();
            (response.status().as_u16(), response.json().await.unwrap_or_default())
        })
    }

    fn put_job(&self, ticket: &str, body: &str) -> (u16, Value) {
        self.call("PUT", &format!("/v1/jobs/{ticket}"), body.to_owned())
    }
}

#[test]
fn invalid_jobs_are_rejected() {
    let fixture = start_fixture();
    let long_payload = json!({"service": "readings", "team": "councils", "tasks": [{"payload": "x".repeat(70_000)}]}).to_string();
    let many_tasks = json!({"service": "readings", "team": "councils", "tasks": vec![json!({"payload": ""}); 401]}).to_string();
    let huge_body =
        json!({"service": "readings", "team": "councils", "tasks": vec![json!({"payload": "x".repeat(60_000)}); 100]}).to_string();
    let oversized_demand =
        json!({"service": "readings", "team": "councils", "tasks": [{"payload": "", "demand": {"accelerators": 9}}]}).to_string();
    let cases = [
        ("{", 400, "bad-request"),
        (r#"{"service":"readings","team":"councils","tasks":[],"extra":1}"#, 400, "bad-request"),
        (r#"{"service":"no such service!","team":"councils","tasks":[{"payload":""}]}"#, 400, "bad-request"),
        (r#"{"service":"readings","team":"councils","tasks":[]}"#, 400, "bad-request"),
        (&long_payload, 400, "bad-request"),
        (&many_tasks, 400, "bad-request"),
        (&huge_body, 413, "bad-request"),
        (&oversized_demand, 422, "never-runnable"),
        (r#"{"service":"elsewhere","team":"councils","tasks":[{"payload":""}]}"#, 422, "service-unknown"),
    ];
    for (body, status, code) in cases {
        let (actual_status, problem) = fixture.put_job(&fixture.ticket, body);
        assert_eq!((actual_status, problem["code"].as_str(), problem["ran"].as_str()), (status, Some(code), Some("no")), "{problem}");
    }
    let (status, view) = fixture.put_job(&fixture.ticket, VALID_JOB);
    assert_eq!((status, view["verdict"].as_str()), (200, Some("complete")), "a refused job does not use up the ticket");
    assert_eq!(fixture.deployment.start_log.records().len(), 1);
}

#[rstest]
#[case::not_a_ticket("nonsense", 403, "ticket-forged")]
#[case::wrong_signature("entry-0.0000000000000001.0.00000000000000000000000000000000", 403, "ticket-forged")]
fn forged_tickets_are_rejected(#[case] ticket: &str, #[case] status: u16, #[case] code: &str) {
    let fixture = start_fixture();
    for method in ["PUT", "GET", "DELETE"] {
        let (actual_status, problem) = fixture.call(method, &format!("/v1/jobs/{ticket}"), VALID_JOB.to_owned());
        assert_eq!((actual_status, problem["code"].as_str()), (status, Some(code)));
    }
}

#[test]
fn other_invalid_calls_are_rejected() {
    let fixture = start_fixture();
    let cases = [
        ("GET", "/v1/nowhere", "", 404),
        ("POST", "/v1/tickets?count=0", "", 400),
        ("POST", "/v1/tickets?count=10001", "", 400),
        ("PUT", "/v1/jobs/by-name/bad%20name", VALID_JOB, 400),
        ("POST", "/v1/config/changes", r#"{"id":"a","based_on":0,"edits":[]}"#, 400),
        ("POST", "/v1/config/changes", r#"{"id":"a","based_on":0,"edits":[{"zone_explode":"x"}]}"#, 400),
    ];
    for (method, path, body, status) in cases {
        let (actual_status, problem) = fixture.call(method, path, body.to_owned());
        assert_eq!((actual_status, problem["outcome"].as_str()), (status, Some("refused")), "{method} {path}: {problem}");
    }
    let (status, problem) = fixture.call("GET", &format!("/v1/jobs/{}", fixture.ticket), String::new());
    assert_eq!((status, problem["code"].as_str()), (404, Some("job-missing")));
}

#[test]
fn invalid_announcements_are_rejected() {
    let fixture = start_fixture();
    let agent = fixture.deployment.agent_settings[0].http_listen;
    let post = |body: Value| {
        let request = fixture.http.post(format!("http://{agent}/v1/upstreams")).json(&body);
        fixture.deployment.runtime.block_on(async { request.send().await.unwrap().status().as_u16() })
    };
    assert_eq!(post(json!({"upstream": "u"})), 400);
    assert_eq!(post(json!({"upstream": "u", "service": "s", "address": "not an address", "slots": 1, "connections": 1})), 400);
    assert_eq!(post(json!({"upstream": "u", "service": "s", "address": "127.0.0.1:1", "slots": 0, "connections": 1})), 400);
}

/// Opens a connection and sends the head of a job with a body of this size.
fn begin_job(fixture: &ApiFixture, body_bytes: usize) -> TcpStream {
    let mut socket = TcpStream::connect(fixture.deployment.entry_addresses[0]).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let path = format!("/v1/jobs/{}", fixture.ticket);
    let head = format!("PUT {path} HTTP/1.1\r\nhost: entry\r\ncontent-type: application/json\r\ncontent-length: {body_bytes}\r\n\r\n");
    socket.write_all(head.as_bytes()).unwrap();
    socket
}

/// Reads until the entry closes the connection.
fn read_answers(mut socket: TcpStream) -> String {
    let mut answers = Vec::new();
    socket.read_to_end(&mut answers).unwrap();
    String::from_utf8(answers).unwrap()
}

#[test]
fn request_after_an_oversized_body_is_answered() {
    let fixture = start_fixture();
    let mut socket = begin_job(&fixture, 6_000_000);
    socket.write_all(&vec![b'x'; 5_000_000]).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    socket.write_all(&vec![b'x'; 1_000_000]).unwrap();
    socket.write_all(b"GET /v1/health HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n").unwrap();
    let answers = read_answers(socket);
    assert!(answers.starts_with("HTTP/1.1 413"), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 1, "the second request was lost: {answers}");
}

#[test]
fn connection_with_an_endless_body_is_closed_openly() {
    let fixture = start_fixture();
    let mut socket = begin_job(&fixture, 20_000_000);
    // As much as the entry reads. Bytes that it leaves unread would reset the connection and could destroy the answer.
    socket.write_all(&vec![b'x'; 16 * 1024 * 1024]).unwrap();
    let answers = read_answers(socket);
    assert!(answers.starts_with("HTTP/1.1 413"), "{answers}");
    assert!(answers.to_lowercase().contains("connection: close"), "{answers}");
}
