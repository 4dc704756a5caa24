//! Bad input at each HTTP door gets one clear error and disturbs no other work.

use rstest::rstest;
use serde_json::{json, Value};
use vanillacleat_cli::deployment::{DeploymentOptions, LocalDeployment};

const GOOD: &str = r#"{"service":"readings","team":"councils","tasks":[{"payload":"{\"id\":\"a\",\"run_ms\":1}"}]}"#;

struct Door {
    deployment: LocalDeployment,
    http: reqwest::Client,
    ticket: String,
}

fn open_door() -> Door {
    let deployment = LocalDeployment::start(&DeploymentOptions { entries: 1, agents: 1, ..DeploymentOptions::default() }).unwrap();
    let http = reqwest::Client::new();
    let url = format!("http://{}/v1/tickets?count=1", deployment.entry_addresses[0]);
    let tickets: Value = deployment.runtime.block_on(async { http.post(url).send().await.unwrap().json().await.unwrap() });
    let ticket = tickets["tickets"][0].as_str().unwrap().to_owned();
    Door { deployment, http, ticket }
}

impl Door {
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
fn bad_jobs_are_refused() {
    let door = open_door();
    let long_payload = json!({"service": "readings", "team": "councils", "tasks": [{"payload": "x".repeat(70_000)}]}).to_string();
    let many_tasks = json!({"service": "readings", "team": "councils", "tasks": vec![json!({"payload": ""}); 401]}).to_string();
    let huge = json!({"service": "readings", "team": "councils", "tasks": vec![json!({"payload": "x".repeat(60_000)}); 100]}).to_string();
    let heavy = json!({"service": "readings", "team": "councils", "tasks": [{"payload": "", "demand": {"accelerators": 9}}]}).to_string();
    let cases = [
        ("{", 400, "bad-request"),
        (r#"{"service":"readings","team":"councils","tasks":[],"extra":1}"#, 400, "bad-request"),
        (r#"{"service":"no such service!","team":"councils","tasks":[{"payload":""}]}"#, 400, "bad-request"),
        (r#"{"service":"readings","team":"councils","tasks":[]}"#, 400, "bad-request"),
        (&long_payload, 400, "bad-request"),
        (&many_tasks, 400, "bad-request"),
        (&huge, 413, "bad-request"),
        (&heavy, 422, "never-runnable"),
        (r#"{"service":"elsewhere","team":"councils","tasks":[{"payload":""}]}"#, 422, "service-unknown"),
    ];
    for (body, status, code) in cases {
        let (seen, problem) = door.put_job(&door.ticket, body);
        assert_eq!((seen, problem["code"].as_str(), problem["ran"].as_str()), (status, Some(code), Some("no")), "{problem}");
    }
    let (status, view) = door.put_job(&door.ticket, GOOD);
    assert_eq!((status, view["verdict"].as_str()), (200, Some("complete")), "refusals do not spend the ticket");
    assert_eq!(door.deployment.log.records().len(), 1);
}

#[rstest]
#[case::no_ticket("nonsense", 403, "ticket-forged")]
#[case::other_code("entry-0.0000000000000001.0.00000000000000000000000000000000", 403, "ticket-forged")]
fn forged_tickets_are_refused(#[case] ticket: &str, #[case] status: u16, #[case] code: &str) {
    let door = open_door();
    for method in ["PUT", "GET", "DELETE"] {
        let (seen, problem) = door.call(method, &format!("/v1/jobs/{ticket}"), GOOD.to_owned());
        assert_eq!((seen, problem["code"].as_str()), (status, Some(code)));
    }
}

#[test]
fn other_calls_are_refused() {
    let door = open_door();
    let cases = [
        ("GET", "/v1/nowhere", "", 404),
        ("POST", "/v1/tickets?count=0", "", 400),
        ("POST", "/v1/tickets?count=10001", "", 400),
        ("PUT", "/v1/jobs/by-name/bad%20name", GOOD, 400),
        ("POST", "/v1/config/changes", r#"{"id":"a","based_on":0,"edits":[]}"#, 400),
        ("POST", "/v1/config/changes", r#"{"id":"a","based_on":0,"edits":[{"zone_explode":"x"}]}"#, 400),
    ];
    for (method, path, body, status) in cases {
        let (seen, problem) = door.call(method, path, body.to_owned());
        assert_eq!((seen, problem["outcome"].as_str()), (status, Some("refused")), "{method} {path}: {problem}");
    }
    let (status, problem) = door.call("GET", &format!("/v1/jobs/{}", door.ticket), String::new());
    assert_eq!((status, problem["code"].as_str()), (404, Some("job-missing")));
}

#[test]
fn bad_announcements_are_refused() {
    let door = open_door();
    let agent = door.deployment.agent_settings[0].http_listen;
    let post = |body: Value| {
        let request = door.http.post(format!("http://{agent}/v1/upstreams")).json(&body);
        door.deployment.runtime.block_on(async { request.send().await.unwrap().status().as_u16() })
    };
    assert_eq!(post(json!({"upstream": "u"})), 400);
    assert_eq!(post(json!({"upstream": "u", "service": "s", "address": "not an address", "slots": 1, "connections": 1})), 400);
    assert_eq!(post(json!({"upstream": "u", "service": "s", "address": "127.0.0.1:1", "slots": 0, "connections": 1})), 400);
}
