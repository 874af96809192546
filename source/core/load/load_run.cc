#include "load/load_run.h"

#include <boost/asio.hpp>
#include <utility>

#include "load/gateway_pool.h"
#include "load/load_report.h"
#include "load/program_runner.h"
#include "standin/clock.h"

namespace daisywind::load {
namespace {

namespace asio = boost::asio;
using standin::Now;

constexpr auto kProgressInterval = std::chrono::seconds(1);

class load_runner {
 public:
  load_runner(const load_options& options,
              const std::function<void(const load_progress&)>& on_progress)
      : options_(options),
        on_progress_(on_progress),
        random_(options.seed),
        plans_(GeneratePlans(*options.workload, options.plan, random_)),
        gateways_(options.gateways, random_),
        client_(context_, gateways_, options.client, random_),
        report_(options.organisation) {
    progress_.programs = plans_.size();
  }

  auto Run() -> load_outcome {
    started_at_ = Now();
    asio::co_spawn(context_, StartPrograms(), asio::detached);
    asio::co_spawn(context_, ReportProgress(), asio::detached);
    context_.run();
    on_progress_(progress_);
    return {report_.ToJson(client_.counts()),
            report_.CountOf(program_status::kWrong) > 0};
  }

 private:
  auto StartPrograms() -> asio::awaitable<void> {
    for (const auto& plan : plans_) {
      co_await SleepUntil(started_at_ + plan.start_at);
      ++progress_.started;
      report_.RecordStart();
      asio::co_spawn(context_, RunProgram(plan),
                     [](const std::exception_ptr& error) {
                       if (error) {
                         std::rethrow_exception(error);
                       }
                     });
    }
  }

  auto RunProgram(const program_plan& plan) -> asio::awaitable<void> {
    auto runner = program_runner(context_, client_, plan,
                                 "load-" + std::to_string(options_.seed));
    co_await runner.Run();
    const auto ended_at = Now() - started_at_;
    report_.RecordEnd(plan, runner.result(), ended_at - plan.start_at,
                      ended_at);
    co_await runner.End();
    ++progress_.ended;
  }

  auto ReportProgress() -> asio::awaitable<void> {
    auto timer = asio::steady_timer(context_);
    while (progress_.ended < progress_.programs) {
      timer.expires_after(kProgressInterval);
      co_await timer.async_wait(asio::use_awaitable);
      on_progress_(progress_);
    }
  }

  auto SleepUntil(instant at) -> asio::awaitable<void> {
    auto timer = asio::steady_timer(context_, at - Now());
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::io_context context_{1};
  const load_options& options_;
  const std::function<void(const load_progress&)>& on_progress_;
  random_source random_;
  std::vector<program_plan> plans_;
  gateway_pool gateways_;
  call_client client_;
  load_report report_;
  load_progress progress_;
  instant started_at_;
};

}  // namespace

auto RunLoad(const load_options& options,
             const std::function<void(const load_progress&)>& on_progress)
    -> load_outcome {
  return load_runner(options, on_progress).Run();
}

}  // namespace daisywind::load
