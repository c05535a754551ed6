//! A request that crashes each backend server that runs it.

use std::time::Duration;

use testbed::site::{Call, Client, Plan, Site};

#[tokio::test]
async fn marked_request_crashes_two_servers_at_most() {
    let mut site = Site::start(Plan::small().unwrap()).await.unwrap();
    let client = Client::new(site.desks()[0], "terminy").await.unwrap();
    let call = Call::new("/terminy/?rig-crash=1").with_deadline(Duration::from_secs(3));
    let mut answers = Vec::new();
    for _ in 0..6 {
        answers.push(client.call(&call).await.map(|reply| reply.summary()));
    }
    let mut crashed = 0;
    for backend in site
        .backends
        .iter_mut()
        .filter(|b| b.service.as_str() == "terminy")
    {
        let short = Duration::from_millis(200);
        crashed += u32::from(backend.process.ended(short).await.is_ok());
    }
    assert!(crashed <= 2, "{crashed} servers crashed: {answers:?}");
    let last = answers.pop().unwrap().unwrap();
    assert_eq!(last, "422 poison unknown", "{answers:?}");
}
