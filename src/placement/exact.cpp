#include "placement/exact.hpp"

#include <dlfcn.h>
#include <glpk.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>

namespace pinedoor::placement {
namespace {

// GLPK functions, loaded at run time so that the front node does not link against libglpk.
class Glpk {
public:
    Glpk() : library_(dlopen("libglpk.so.40", RTLD_NOW | RTLD_LOCAL | RTLD_NODELETE)) {
        if (library_ == nullptr) throw std::runtime_error("libglpk cannot be loaded; install libglpk40");
        load(create, "glp_create_prob");
        load(erase, "glp_delete_prob");
        load(direction, "glp_set_obj_dir");
        load(add_rows, "glp_add_rows");
        load(add_cols, "glp_add_cols");
        load(row_bounds, "glp_set_row_bnds");
        load(col_bounds, "glp_set_col_bnds");
        load(col_kind, "glp_set_col_kind");
        load(cost, "glp_set_obj_coef");
        load(matrix, "glp_load_matrix");
        load(init, "glp_init_iocp");
        load(solve, "glp_intopt");
        load(status, "glp_mip_status");
        load(value, "glp_mip_col_val");
        load(quiet, "glp_term_out");
        quiet(GLP_OFF);
    }

    decltype(&glp_create_prob) create = nullptr;
    decltype(&glp_delete_prob) erase = nullptr;
    decltype(&glp_set_obj_dir) direction = nullptr;
    decltype(&glp_add_rows) add_rows = nullptr;
    decltype(&glp_add_cols) add_cols = nullptr;
    decltype(&glp_set_row_bnds) row_bounds = nullptr;
    decltype(&glp_set_col_bnds) col_bounds = nullptr;
    decltype(&glp_set_col_kind) col_kind = nullptr;
    decltype(&glp_set_obj_coef) cost = nullptr;
    decltype(&glp_load_matrix) matrix = nullptr;
    decltype(&glp_init_iocp) init = nullptr;
    decltype(&glp_intopt) solve = nullptr;
    decltype(&glp_mip_status) status = nullptr;
    decltype(&glp_mip_col_val) value = nullptr;
    decltype(&glp_term_out) quiet = nullptr;

private:
    template <class Function>
    void load(Function& function, const char* name) {
        function = reinterpret_cast<Function>(dlsym(library_, name));
        if (function == nullptr) throw std::runtime_error(std::string("libglpk has no ") + name);
    }
    void* library_;
};

// A mixed integer program with a minimized objective.
class Model {
public:
    explicit Model(const Glpk& glpk) : glpk_(glpk), problem_(glpk.create(), glpk.erase) {
        glpk_.direction(problem_.get(), GLP_MIN);
    }

    int add_yes_or_no(double cost, int low = 0, int high = 1) {
        const int col = glpk_.add_cols(problem_.get(), 1);
        glpk_.col_kind(problem_.get(), col, GLP_BV);
        glpk_.col_bounds(problem_.get(), col, low == high ? GLP_FX : GLP_DB, low, high);
        glpk_.cost(problem_.get(), col, cost);
        return col;
    }
    int add_number(double cost) {
        const int col = glpk_.add_cols(problem_.get(), 1);
        glpk_.col_bounds(problem_.get(), col, GLP_LO, 0, 0);
        glpk_.cost(problem_.get(), col, cost);
        return col;
    }
    // Constrains a weighted sum of columns. GLP_FX: it equals `low`; GLP_UP: it is at most `high`.
    void add_row(int kind, double low, double high, const std::vector<std::pair<int, double>>& terms) {
        const int row = glpk_.add_rows(problem_.get(), 1);
        glpk_.row_bounds(problem_.get(), row, kind, low, high);
        for (const auto& [col, factor] : terms) {
            rows_.push_back(row);
            cols_.push_back(col);
            factors_.push_back(factor);
        }
    }
    // Returns GLP_OPT (optimal), GLP_FEAS (feasible, found within the time limit) or a status without
    // solution.
    int solve(int time_limit_s) {
        glpk_.matrix(problem_.get(), static_cast<int>(rows_.size()) - 1, rows_.data(), cols_.data(),
                     factors_.data());
        glp_iocp parameters;
        glpk_.init(&parameters);
        parameters.presolve = GLP_ON;
        parameters.tm_lim = time_limit_s * 1'000;
        glpk_.solve(problem_.get(), &parameters);
        return glpk_.status(problem_.get());
    }
    double value(int col) const { return glpk_.value(problem_.get(), col); }

private:
    const Glpk& glpk_;
    std::unique_ptr<glp_prob, decltype(&glp_delete_prob)> problem_;
    std::vector<int> rows_{0}, cols_{0};  // element 0 is unused, since GLPK indexes from 1
    std::vector<double> factors_{0};
};

}  // namespace

std::optional<ExactTarget> exact_target(const Fleet& fleet, int time_limit_s, std::string& why) {
    if (why = fault_of(fleet); !why.empty()) return std::nullopt;
    std::unique_ptr<Glpk> glpk;
    try {
        glpk = std::make_unique<Glpk>();
    } catch (const std::runtime_error& error) {
        why = error.what();
        return std::nullopt;
    }
    Model model(*glpk);
    double all = 1;
    std::set<int> zones;
    for (const auto& need : fleet.shards) all += need.size * static_cast<double>(need.replicas);
    for (const auto& box : fleet.boxes) {
        if (!box.draining) zones.insert(box.zone);
    }
    const int fullest = model.add_number(1);
    const auto boxes = fleet.boxes.size();
    const auto contains = [](const std::vector<ServerNumber>& list, ServerNumber box) {
        return std::find(list.begin(), list.end(), box) != list.end();
    };
    std::vector<std::vector<int>> holds, owns;
    std::vector<std::vector<std::pair<int, double>>> load(boxes), space(boxes);
    for (const auto& need : fleet.shards) {
        auto& h = holds.emplace_back();
        auto& o = owns.emplace_back();
        std::vector<std::pair<int, double>> replicas, owners;
        std::map<int, std::vector<std::pair<int, double>>> in_zone;
        for (std::size_t b = 0; b < boxes; ++b) {
            const auto& box = fleet.boxes[b];
            const bool there = is_on(need.now, box.id);
            const int high = box.draining || contains(need.never_on, box.id) ? 0 : 1;
            const int low = contains(need.pinned, box.id) ? 1 : 0;
            if (low > high) {
                why = "shard " + std::to_string(need.shard) + " is pinned to a box that may not hold it";
                return std::nullopt;
            }
            // The cost of moving data is low enough not to outweigh a noticeable difference in load.
            h.push_back(model.add_yes_or_no(there ? 0 : 1e-4 * need.size / all, low, high));
            o.push_back(model.add_yes_or_no(0, 0, high));
            replicas.emplace_back(h.back(), 1);
            owners.emplace_back(o.back(), 1);
            in_zone[box.zone].emplace_back(h.back(), 1);
            model.add_row(GLP_UP, 0, 0, {{o.back(), 1}, {h.back(), -1}});  // the owner holds a replica
            load[b].emplace_back(h.back(), need.reads / static_cast<double>(need.replicas) / box.capacity);
            load[b].emplace_back(o.back(), need.writes / box.capacity);
            space[b].emplace_back(h.back(), need.size);
        }
        model.add_row(GLP_FX, static_cast<double>(need.replicas), static_cast<double>(need.replicas),
                      replicas);
        model.add_row(GLP_FX, 1, 1, owners);
        const auto most = (need.replicas + zones.size() - 1) / zones.size();
        for (const auto& [zone, terms] : in_zone) model.add_row(GLP_UP, 0, static_cast<double>(most), terms);
    }
    for (std::size_t b = 0; b < boxes; ++b) {
        load[b].emplace_back(fullest, -1);
        model.add_row(GLP_UP, 0, 0, load[b]);
        model.add_row(GLP_UP, 0, fleet.boxes[b].space * fleet.terms.fill, space[b]);
    }
    const int status = model.solve(time_limit_s);
    if (status != GLP_OPT && status != GLP_FEAS) {
        why = "no placement keeps what is asked, or none was found in the time";
        return std::nullopt;
    }
    ExactTarget found;
    found.proven = status == GLP_OPT;
    for (std::size_t s = 0; s < holds.size(); ++s) {
        auto& replicas = found.target.emplace_back();
        for (std::size_t b = 0; b < boxes; ++b) {
            if (model.value(holds[s][b]) < 0.5) continue;
            replicas.push_back(
                {fleet.boxes[b].id, model.value(owns[s][b]) > 0.5 ? Role::kOwner : Role::kReader});
        }
    }
    const auto each = loads(fleet, found.target);
    found.fullest = *std::max_element(each.begin(), each.end());
    return found;
}

}  // namespace pinedoor::placement
