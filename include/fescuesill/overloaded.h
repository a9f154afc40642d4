#pragma once

// A visitor for std::visit, made of a lambda for each alternative of a variant.
//
//     std::visit(Overloaded{[](const Full &) { ... }, [](const Failed &failed) { ... }}, outcome);

namespace fescuesill
{

template<typename... Lambdas>
struct Overloaded : Lambdas... {
    using Lambdas::operator()...;
};
template<typename... Lambdas>
Overloaded(Lambdas...) -> Overloaded<Lambdas...>;

} // namespace fescuesill
